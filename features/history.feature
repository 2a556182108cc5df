Feature: Guarantees to callers during changes and failures
  Searches and bookings run concurrently against separate processes. Their
  history is then checked against the journals of the targets.

  Scenario: Searches stay correct while the index version and the shard map change
    Given a deployment of 3 instances
    When searches run while the index version and the shard map change
    Then the history has no violations
    And every search after the last change covers all shards of shard map 2

  Scenario: Searches cover all shards after a replica is lost
    Given a deployment of 3 instances with one process per target
    When a target is killed during searches
    Then the history has no violations
    And every search after the last change covers all shards of shard map 1

  Scenario: A booking with a key of a killed instance ends as unknown
    Given a deployment of 3 instances
    When an instance is killed during searches and bookings
    Then the history has no violations
    And at least one booking ended with "done"
    And a booking with a key of that instance through another one ended with "unknown"

  Scenario: A booking with a key of a frozen instance ends as unknown
    Given a deployment of 3 instances
    When an instance is frozen and resumed during searches and bookings
    Then the history has no violations
    And at least one booking ended with "done"
    And a booking with a key of that instance through another one ended with "unknown"

  Scenario Outline: The history has no violations when a target sends <fault>
    Given a deployment of 3 instances
    When a target of each service has fault "<field>" during searches and bookings
    Then the history has no violations
    And at least one booking ended with "done"

    Examples:
      | fault                             | field             |
      | malformed replies                 | malformed         |
      | replies that never end            | endless           |
      | the reply to the previous request | late_replies      |
      | each reply twice                  | duplicate_replies |
