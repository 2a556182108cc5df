Feature: Planned stop
  A stop cuts no request; one that is forced names what it cut.

  Scenario: A planned stop under a stream of requests
    Given a deployment of 3 instances
    And streams of searches and bookings through all instances
    When "i1" is sent SIGTERM under the streams
    Then "i1" exits with code 0
    And no request of the streams was cut
    And "i0" holds "i1" as "left"

  Scenario: A slow request is in flight when the stop begins
    Given a deployment of 3 instances
    And targets that take 4000 ms
    When a search through "i1" is in flight
    And "i1" is sent SIGTERM
    Then "i1" exits with code 0
    And the search in flight covers 6 shards

  Scenario: A second signal names the requests that it cuts
    Given a deployment of 3 instances
    And targets that take 8000 ms
    When a search through "i1" is in flight
    And "i1" is sent SIGTERM
    And "i1" is sent SIGTERM again
    Then "i1" exits with code 1
    And the log of "i1" names exactly the caller's search as cut

  Scenario: The grace limit ends a stop that takes too long
    Given a deployment of 3 instances with a grace limit of 3 s
    And targets that take 8000 ms
    When a search through "i1" is in flight
    And "i1" is sent SIGTERM
    Then "i1" exits with code 1
    And the log of "i1" names exactly the caller's search as cut

  Scenario: An instance that stops answers its peers and for its keys
    Given a deployment of 3 instances
    And targets that take 4000 ms
    When a caller gets a key from "i1"
    And a search through "i0" is in flight
    And "i1" is sent SIGTERM
    And the caller books on "guest-portal" through "i0" with the key
    Then the outcome is "done"
    And the search in flight covers 6 shards
    And "i1" exits with code 0
