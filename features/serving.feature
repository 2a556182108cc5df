Feature: Serving path
  Across separate processes, a search covers every shard and a booking runs once.

  Scenario: A search covers every shard
    Given a deployment of 3 instances
    When a caller searches "guest-portal" through "i1"
    Then the outcome is "done"
    And the answer covers 6 shards with 0 lacking

  Scenario: A booking repeated through another instance runs only once
    Given a deployment of 3 instances
    When a caller gets a request key from "i0"
    And the caller books "guest-portal" through "i1" with the key
    And the caller books "guest-portal" through "i2" with the key
    Then the outcome is "done"
    And the number of runs of the booking on the targets of "guest-portal" is 1
