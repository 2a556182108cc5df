Feature: Life cycle of bundles
  A bundle is proposed, signed by another operator, staged on every instance and
  then in force everywhere; an older one never comes back.

  Background:
    Given a deployment of 3 instances
    And a recorded stream of searches on "guest-portal"

  Scenario: A signed bundle comes into force everywhere
    When bundle 2 is proposed and signed through "i1"
    And "i1" is asked to roll out bundle 2
    Then bundle 2 comes into force on "i0, i1, i2"
    And the recorded history is correct

  Scenario: An author cannot sign, and an unsigned bundle is not rolled out
    When "operator-a" proposes a bundle through "i0"
    And "operator-a" signs bundle 2 through "i1"
    Then the operator is refused with "forbidden"
    When "i0" is asked to roll out bundle 2
    Then the operator is refused with "forbidden"
    And the recorded history is correct

  Scenario: Two operators propose the same number
    When operators "ana" and "luc" propose bundle 2 together
    Then one of them has bundle 2 and the other is told who was first
    And the recorded history is correct

  Scenario: Two operators roll out different bundles
    When bundle 2 is proposed and signed through "i0"
    And bundle 3 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" is asked to roll out bundle 3
    Then the operator is refused with "conflict"
    When process "i2" resumes
    Then bundle 2 comes into force on "i0, i1, i2"
    And the recorded history is correct

  Scenario: A rollback is a new number
    When bundle 2 is proposed and signed through "i0"
    And "i0" is asked to roll out bundle 2
    Then bundle 2 comes into force on "i0, i1, i2"
    When the content of bundle 1 is proposed again through "i2"
    And "operator-b" signs bundle 3 through "i1"
    And "i1" is asked to roll out bundle 3
    Then bundle 3 comes into force on "i0, i1, i2"
    And the recorded history is correct

  Scenario: The platform is down during a rollout
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And the platform is down
    And process "i2" resumes
    Then every instance admits requests under bundle 1 for 5 s
    When the platform is healthy
    Then bundle 2 comes into force on "i0, i1, i2"
    And the recorded history is correct

  Scenario: The platform is slow during a rollout
    When bundle 2 is proposed and signed through "i0"
    And the platform takes 700 ms per call
    And "i0" is asked to roll out bundle 2
    Then bundle 2 comes into force on "i0, i1, i2"
    And the recorded history is correct

  Scenario: The platform is too slow for a rollout
    When bundle 2 is proposed and signed through "i0"
    And "i0" is asked to roll out bundle 2 while calls take 1300 ms
    Then every instance admits requests under bundle 1 for 5 s
    When the platform is healthy
    Then bundle 2 comes into force on "i0, i1, i2"
    And the recorded history is correct

  Scenario: Every reply to a write is lost
    When the platform loses every reply to a write
    And bundle 2 is proposed and signed through "i0"
    And "i0" is asked to roll out bundle 2
    Then bundle 2 comes into force on "i0, i1, i2"
    And the recorded history is correct

  Scenario: The acceptance takes effect but the platform is then gone
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And the platform accepts the next write without a reply and is then down
    And process "i2" resumes
    Then no instance admits requests
    When the platform is healthy
    Then bundle 2 comes into force on "i0, i1, i2"
    And the recorded history is correct

  Scenario: An instance is frozen during a rollout
    When bundle 2 is proposed and signed through "i0"
    And process "i1" is frozen
    And "i0" is asked to roll out bundle 2
    Then "i1" blocks the rollout of bundle 2
    When process "i1" resumes
    Then bundle 2 comes into force on "i0, i1, i2"
    And the recorded history is correct

  Scenario: An instance freezes after its acknowledgement
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And process "i1" is frozen
    And the platform is down for "i1"
    And process "i2" resumes
    Then bundle 2 comes into force on "i0, i2"
    When 9 s pass
    And process "i1" resumes
    Then bundle 2 comes into force on "i1"
    And the recorded history is correct

  Scenario: The coordinator is killed between acknowledgement and acceptance
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And process "i0" is killed
    And the platform lists "i1, i2"
    And process "i2" resumes
    Then bundle 2 comes into force on "i1, i2"
    And the recorded history is correct

  Scenario: The coordinator is frozen and another one takes over
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And process "i0" is frozen
    And process "i2" resumes
    And "i1" or "i2" coordinates with epoch 2
    And process "i0" resumes
    Then bundle 2 comes into force on "i0, i1, i2"
    And "i0" coordinates no more
    And the recorded history is correct

  Scenario: The coordinator is lost while the platform is down
    When bundle 2 is proposed and signed through "i0"
    And process "i2" is frozen
    And "i0" is asked to roll out bundle 2
    And "i1" has acknowledged bundle 2
    And the platform is down
    And process "i0" is killed
    Then "i1" stops admitting requests
    When process "i2" resumes
    And the platform lists "i1, i2"
    And the platform is healthy
    Then bundle 2 comes into force on "i1, i2"
    And the recorded history is correct

  Scenario: An instance starts during a platform outage
    When bundle 2 is proposed and signed through "i0"
    And "i0" is asked to roll out bundle 2
    Then bundle 2 comes into force on "i0, i1, i2"
    When process "i2" is killed
    And the platform is down
    And instance "i2" is started
    Then bundle 2 comes into force on "i2"
    And the recorded history is correct

  Scenario: An instance that starts alone during an outage admits nothing
    When process "i1" is killed
    And process "i2" is killed
    And the platform is down
    And process "i0" is killed
    And instance "i0" is started
    Then "i0" stops admitting requests
    When the platform is healthy
    Then bundle 1 comes into force on "i0"
    And the recorded history is correct

  Scenario: An old bundle does not come back after restarts
    When bundle 2 is proposed and signed through "i0"
    And "i0" is asked to roll out bundle 2
    Then bundle 2 comes into force on "i0, i1, i2"
    When process "i0" is killed
    And process "i1" is killed
    And process "i2" is killed
    And instance "i1" is started
    And instance "i0" is started
    And instance "i2" is started
    Then bundle 2 comes into force on "i0, i1, i2"
    And the recorded history is correct
