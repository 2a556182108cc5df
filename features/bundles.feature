Feature: Bundle life cycle
  A bundle is proposed, signed by a second operator, staged on every instance and
  then put in force everywhere; an older bundle never replaces a newer one.

  Background:
    Given a deployment of 3 instances
    And recorded searches of "guest-portal" through every instance

  Scenario: A signed bundle is put in force on every instance
    When bundle 2 is proposed and signed through "i1"
    And "i1" is asked to roll out bundle 2
    Then bundle 2 is in force on "i0, i1, i2"
    And the recorded history is consistent

  Scenario: An author cannot sign a bundle and an unsigned bundle is not rolled out
    When "operator-a" proposes a bundle through "i0"
    And "operator-a" signs bundle 2 through "i1"
    Then the request is rejected with "forbidden"
    When "i0" is asked to roll out bundle 2
    Then the request is rejected with "forbidden"
    And the recorded history is consistent

  Scenario: One of two concurrent proposals of the same number is rejected
    When operators "ana" and "luc" concurrently propose bundle 2
    Then one proposal becomes bundle 2 and the other is rejected naming its author
    And the recorded history is consistent

  Scenario: A rollout is rejected while another bundle is rolled out
    When bundle 2 is proposed and signed through "i0"
    And bundle 3 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" is asked to roll out bundle 3
    Then the request is rejected with "conflict"
    When process "i2" resumes
    Then bundle 2 is in force on "i0, i1, i2"
    And the recorded history is consistent

  Scenario: A rollback gets a new bundle number
    When bundle 2 is proposed and signed through "i0"
    And "i0" is asked to roll out bundle 2
    Then bundle 2 is in force on "i0, i1, i2"
    When a rollback to bundle 1 is proposed through "i2"
    And "operator-b" signs bundle 3 through "i1"
    And "i1" is asked to roll out bundle 3
    Then bundle 3 is in force on "i0, i1, i2"
    And the recorded history is consistent

  Scenario: A rollout completes after a platform outage
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And the platform is down
    And process "i2" resumes
    Then every instance keeps admitting requests under bundle 1 for 5 s
    When the platform is healthy
    Then bundle 2 is in force on "i0, i1, i2"
    And the recorded history is consistent

  Scenario: A rollout completes while the platform is slow
    When bundle 2 is proposed and signed through "i0"
    And platform calls are delayed by 700 ms
    And "i0" is asked to roll out bundle 2
    Then bundle 2 is in force on "i0, i1, i2"
    And the recorded history is consistent

  Scenario: A rollout delayed by a slow platform completes once the platform is healthy
    When bundle 2 is proposed and signed through "i0"
    And "i0" is asked to roll out bundle 2 while platform calls are delayed by 1300 ms
    Then every instance keeps admitting requests under bundle 1 for 5 s
    When the platform is healthy
    Then bundle 2 is in force on "i0, i1, i2"
    And the recorded history is consistent

  Scenario: A rollout completes although every reply to a write is lost
    When the platform drops the reply to every write
    And bundle 2 is proposed and signed through "i0"
    And "i0" is asked to roll out bundle 2
    Then bundle 2 is in force on "i0, i1, i2"
    And the recorded history is consistent

  Scenario: No instance admits requests while the outcome of the acceptance is unknown
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And the platform applies the next write without a reply and then goes down
    And process "i2" resumes
    Then no instance admits requests
    When the platform is healthy
    Then bundle 2 is in force on "i0, i1, i2"
    And the recorded history is consistent

  Scenario: A frozen instance blocks a rollout until it resumes
    When bundle 2 is proposed and signed through "i0"
    And process "i1" is frozen
    And "i0" is asked to roll out bundle 2
    Then "i1" blocks the rollout of bundle 2
    When process "i1" resumes
    Then bundle 2 is in force on "i0, i1, i2"
    And the recorded history is consistent

  Scenario: An instance that freezes after its acknowledgement does not block a rollout
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And process "i1" is frozen
    And the platform is down for "i1"
    And process "i2" resumes
    Then bundle 2 is in force on "i0, i2"
    When 9 s pass
    And process "i1" resumes
    Then bundle 2 is in force on "i1"
    And the recorded history is consistent

  Scenario: A rollout completes after its coordinator is killed before acceptance
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And process "i0" is killed
    And the platform lists the instances "i1, i2"
    And process "i2" resumes
    Then bundle 2 is in force on "i1, i2"
    And the recorded history is consistent

  Scenario: Another instance completes the rollout of a frozen coordinator
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And process "i0" is frozen
    And process "i2" resumes
    And "i1" or "i2" coordinates the rollout with epoch 2
    And process "i0" resumes
    Then bundle 2 is in force on "i0, i1, i2"
    And the rollout coordinated by "i0" has ended
    And the recorded history is consistent

  Scenario: A rollout whose coordinator is lost during an outage completes afterwards
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And the platform is down
    And process "i0" is killed
    Then "i1" stops admitting requests
    When process "i2" resumes
    And the platform lists the instances "i1, i2"
    And the platform is healthy
    Then bundle 2 is in force on "i1, i2"
    And the recorded history is consistent

  Scenario: An instance that starts during a platform outage gets the bundle in force
    When bundle 2 is proposed and signed through "i0"
    And "i0" is asked to roll out bundle 2
    Then bundle 2 is in force on "i0, i1, i2"
    When process "i2" is killed
    And the platform is down
    And instance "i2" is started
    Then bundle 2 is in force on "i2"
    And the recorded history is consistent

  Scenario: An instance that starts alone during an outage admits no requests
    When process "i1" is killed
    And process "i2" is killed
    And the platform is down
    And process "i0" is killed
    And instance "i0" is started
    Then "i0" stops admitting requests
    When the platform is healthy
    Then bundle 1 is in force on "i0"
    And the recorded history is consistent

  Scenario: The newest bundle stays in force after all instances restart
    When bundle 2 is proposed and signed through "i0"
    And "i0" is asked to roll out bundle 2
    Then bundle 2 is in force on "i0, i1, i2"
    When process "i0" is killed
    And process "i1" is killed
    And process "i2" is killed
    And instance "i1" is started
    And instance "i0" is started
    And instance "i2" is started
    Then bundle 2 is in force on "i0, i1, i2"
    And the recorded history is consistent
