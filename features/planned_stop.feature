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
