Feature: Dispatch under failures
  Target limits hold and searches cover every shard despite failures of
  connections, instances and targets.

  Scenario: Open connections to a target stop responding
    Given a deployment of 3 instances
    And each instance has completed a search of "guest-portal"
    When the open connections to "guest-portal-t0" stop responding
    And a caller searches "guest-portal" through "i0" with a deadline of 8000 ms
    Then the answer covers 6 shards with 0 lacking
    When 12 concurrent bookings of "guest-portal" are sent through "i1"
    Then every booking ends with "done" and ran exactly once
    And no target has exceeded its limits

  Scenario: The owner of a target is killed while requests are in flight
    Given a deployment of 3 instances
    And each instance has completed a search of "guest-portal"
    And the targets of "guest-portal" have a median service time of 400 ms
    When the owner of "guest-portal-t0" is killed during 2 searches of "guest-portal"
    Then every answer covers 6 shards
    And no target has exceeded its limits

  Scenario: A frozen owner that resumes sends no expired requests
    Given a deployment of 3 instances
    And each instance has completed a search of "guest-portal"
    When the owner of "guest-portal-t0" is frozen
    And another instance concurrently searches "guest-portal" for "old" and books 12 times with deadlines of 400 ms
    And the frozen instance resumes and each instance completes a search of "guest-portal"
    Then no target has received a search for "old" or run a booking since the instance resumed

  Scenario: Searches bypass an owner that stays frozen
    Given a deployment of 3 instances
    And each instance has completed a search of "guest-portal"
    When the owner of "guest-portal-t0" is frozen
    And another instance searches "guest-portal" for "q" with a deadline of 20000 ms
    Then the answer covers 6 shards with 0 lacking
    And no target has exceeded its limits

  Scenario: A target that sheds requests gets fewer of them until it recovers
    Given a deployment of 3 instances
    And each instance has completed a search of "guest-portal"
    When "guest-portal-t0" sheds every request during 5 searches
    Then the adaptive limit of "guest-portal-t0" at its owner is 1
    When "guest-portal-t0" sheds no request until it has answered 45 searches
    Then the adaptive limit of "guest-portal-t0" at its owner is 3
    And no target has exceeded its limits

  Scenario: Instances share the slots of a target in direct mode
    Given a deployment of 3 instances in dispatch mode "direct"
    And each instance has completed a search of "guest-portal"
    When 60 concurrent bookings of "guest-portal" are sent through "i0 i1 i2"
    Then every booking ends with "done" and ran exactly once
    And no target has exceeded its limits
