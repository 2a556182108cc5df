Feature: Leaving targets
  A target that drains gets no new work on any instance.

  Scenario: A drain is learned from a reply while the platform is down
    Given a deployment of 3 instances
    When the platform is down
    And target "guest-portal-t0" starts to drain
    And searches through "i0" have met the drain
    Then every instance reports target "guest-portal-t0" as leaving
    And 30 searches through all instances send nothing to "guest-portal-t0"
    And the last of them covers all 6 shards

  Scenario: A target that returns gets work again
    Given a deployment of 3 instances with separate targets
    When target "guest-portal-t0" starts to drain
    And searches through "i0" have met the drain
    And every instance reports target "guest-portal-t0" as leaving
    And target "guest-portal-t0" is restarted by itself
    Then searches through all instances reach "guest-portal-t0" again
