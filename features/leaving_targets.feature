Feature: Draining targets
  A draining target gets no new requests from any instance.

  Scenario: A drain is detected from a reply while the platform is down
    Given a deployment of 3 instances
    When the platform is down
    And target "guest-portal-t0" starts draining
    And searches run through "i0" until it reports the drain
    Then every instance reports target "guest-portal-t0" as leaving
    And 30 searches through all instances send no requests to "guest-portal-t0"
    And the last search covers all 6 shards

  Scenario: A restarted target gets requests again
    Given a deployment of 3 instances with one process per target
    When target "guest-portal-t0" starts draining
    And searches run through "i0" until it reports the drain
    And every instance reports target "guest-portal-t0" as leaving
    And the process of target "guest-portal-t0" is restarted
    Then searches through all instances reach "guest-portal-t0" again
