Feature: What callers may rely on while parts change and fail
  Streams of searches and bookings run against separate processes; afterwards
  the history is checked against the journals of the targets.

  Scenario: The index version and the partition change during searches
    Given a deployment of 3 instances
    When searches run while the index version and the partition change
    Then the history has no violation
    And every search since the last change covers all shards of map 2

  Scenario: A replica is lost during searches
    Given a deployment of 3 instances with separate targets
    When a target is killed during searches
    Then the history has no violation
    And every search since the last change covers all shards of map 1

  Scenario: An instance is killed during bookings
    Given a deployment of 3 instances
    When an instance is killed during searches and bookings
    Then the history has no violation
    And bookings ended with "done"
    And a key of that instance got "unknown" through another one

  Scenario: An instance is frozen during bookings
    Given a deployment of 3 instances
    When an instance is frozen and resumed during searches and bookings
    Then the history has no violation
    And bookings ended with "done"
    And a key of that instance got "unknown" through another one

  Scenario Outline: A target answers <fault>
    Given a deployment of 3 instances
    When a target has "<field>" set during searches and bookings
    Then the history has no violation
    And bookings ended with "done"

    Examples:
      | fault                 | field             |
      | rubbish               | malformed         |
      | without end           | endless           |
      | with the reply before | late_replies      |
      | twice                 | duplicate_replies |
