Feature: Membership
  Instances detect killed, frozen and restarted instances by gossip.

  Scenario: A killed instance is declared dead and restarts with a new incarnation
    Given a deployment of 4 instances
    When "i3" is killed
    Then "i0" lists "i3" as "dead"
    When "i3" is started again
    Then "i0" lists "i3" as "alive"
    And "i0" lists "i3" with a higher incarnation

  Scenario: A frozen instance resumes and declares no other instance dead
    Given a deployment of 4 instances
    When "i2" is frozen while it suspects "i3", which then resumes
    And all other instances list "i2" as dead
    And "i2" resumes
    Then "i0" lists "i2" as "alive"
    And "i2" lists all instances as "alive"
    And the log of "i2" reports no dead member since it was frozen

  Scenario: An instance that starts during a platform outage joins its peers
    Given a deployment of 4 instances with 2 seed peers each
    When the platform goes down
    And "i3" is killed
    And "i3" is started again
    Then "i3" lists all instances as "alive"
    And "i1" lists "i3" with a higher incarnation
