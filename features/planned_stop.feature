Feature: Graceful shutdown
  A graceful shutdown aborts no requests; a forced one logs those it aborts.

  Scenario: A graceful shutdown under continuous load aborts no requests
    Given a deployment of 3 instances
    And continuous searches and bookings through all instances
    When "i1" is sent SIGTERM under load
    Then "i1" exits with code 0
    And no request of the load was aborted
    And "i0" lists "i1" as "left"

  Scenario: A slow request in flight completes during a graceful shutdown
    Given a deployment of 3 instances
    And targets with a service time of 4000 ms
    When a search through "i1" is in flight
    And "i1" is sent SIGTERM
    Then "i1" exits with code 0
    And the in-flight search covers 6 shards

  Scenario: A second signal logs the requests that it aborts
    Given a deployment of 3 instances
    And targets with a service time of 8000 ms
    When a search through "i1" is in flight
    And "i1" is sent SIGTERM
    And "i1" is sent SIGTERM again
    Then "i1" exits with code 1
    And the log of "i1" lists exactly the caller's search as aborted

  Scenario: The grace limit ends a shutdown that takes too long
    Given a deployment of 3 instances with a grace limit of 3 s
    And targets with a service time of 8000 ms
    When a search through "i1" is in flight
    And "i1" is sent SIGTERM
    Then "i1" exits with code 1
    And the log of "i1" lists exactly the caller's search as aborted

  Scenario: A stopping instance serves its peers and bookings with its keys
    Given a deployment of 3 instances
    And targets with a service time of 4000 ms
    When a caller gets a request key from "i1"
    And a search through "i0" is in flight
    And "i1" is sent SIGTERM
    And the caller books "guest-portal" through "i0" with the key
    Then the outcome is "done"
    And the in-flight search covers 6 shards
    And "i1" exits with code 0
