Feature: Membership
  Instances notice failed, stopped and restarted instances by gossip.

  Scenario: A killed instance is found dead and its restart is a new incarnation
    Given a deployment of 4 instances
    When "i3" is killed
    Then "i0" holds "i3" as "dead"
    When "i3" is started again
    Then "i0" holds "i3" as "alive"
    And "i0" holds "i3" under a higher incarnation

  Scenario: A stopped instance wakes and declares nobody dead
    Given a deployment of 4 instances
    When "i2" is stopped while it suspects "i3", which then resumes
    And the others find "i2" dead
    And "i2" resumes
    Then "i0" holds "i2" as "alive"
    And "i2" holds all others as "alive"
    And the log of "i2" names no member that died after it was stopped

  Scenario: An instance that starts during a platform outage joins its peers
    Given a deployment of 4 instances with 2 seeds each
    When the platform goes down
    And "i3" is killed
    And "i3" is started again
    Then "i3" holds all others as "alive"
    And "i1" holds "i3" under a higher incarnation
