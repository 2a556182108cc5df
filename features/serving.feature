Feature: Serving path
  A search reaches every shard and a booking runs once, in separate processes.

  Scenario: A search covers every shard
    Given a deployment of 3 instances
    When a caller searches "guest-portal" through "i1"
    Then the outcome is "done"
    And the answer covers 6 shards and lacks 0

  Scenario: A booking that is sent again through another instance runs once
    Given a deployment of 3 instances
    When a caller gets a key from "i0"
    And the caller books on "guest-portal" through "i1" with the key
    And the caller books on "guest-portal" through "i2" with the key
    Then the outcome is "done"
    And the targets of "guest-portal" ran the key 1 times
