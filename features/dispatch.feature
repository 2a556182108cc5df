Feature: Dispatch under failures
  Limits of targets hold and no shard is lost while connections, instances and
  targets fail.

  Scenario: Open connections of a target go silent
    Given a deployment of 3 instances
    And each instance has searched "guest-portal"
    When the open connections of "guest-portal-t0" go silent
    And a caller searches "guest-portal" through "i0" within 8000 ms
    Then the answer covers 6 shards and lacks 0
    When 12 bookings run at once on "guest-portal" through "i1"
    Then every booking is "done" and ran once
    And no target has exceeded its limits

  Scenario: The owner of a target is killed while requests are in flight
    Given a deployment of 3 instances
    And each instance has searched "guest-portal"
    And the targets of "guest-portal" take 400 ms
    When the owner of "guest-portal-t0" is killed during 2 searches of "guest-portal"
    Then every answer covers 6 shards
    And no target has exceeded its limits

  Scenario: A frozen owner that resumes sends no old work
    Given a deployment of 3 instances
    And each instance has searched "guest-portal"
    When the owner of "guest-portal-t0" is frozen
    And another instance searches "guest-portal" for "old" while it books 12 times within 400 ms
    And the frozen instance resumes and serves a search of "guest-portal"
    Then no target got a search for "old" or a booking since the resumption

  Scenario: Searches go around an owner that stays frozen
    Given a deployment of 3 instances
    And each instance has searched "guest-portal"
    When the owner of "guest-portal-t0" is frozen
    And another instance searches "guest-portal" for "q" within 20000 ms
    Then the answer covers 6 shards and lacks 0
    And no target has exceeded its limits

  Scenario: A target that sheds gets fewer requests and recovers
    Given a deployment of 3 instances
    And each instance has searched "guest-portal"
    When "guest-portal-t0" sheds every request during 5 searches
    Then the limit of "guest-portal-t0" at its owner is 1
    When "guest-portal-t0" sheds no request during 80 searches
    Then the limit of "guest-portal-t0" at its owner is 3
    And no target has exceeded its limits

  Scenario: Instances share the slots of a target in direct mode
    Given a deployment of 3 instances in mode "direct"
    And each instance has searched "guest-portal"
    When 60 bookings run at once on "guest-portal" through "i0 i1 i2"
    Then every booking is "done" and ran once
    And no target has exceeded its limits
