Feature: Operators' command line
  The real lycheectl talks to real processes.

  Background:
    Given a deployment of 3 instances

  Scenario: A bundle is proposed, signed, rolled out and rolled back
    Given a bundle file that sets "instance_count_max" to 6
    When "ana" runs "check FILE"
    Then the command ends with 0
    When "ana" runs "diff FILE"
    Then the command prints golden file "diff"
    When "ana" runs "propose FILE"
    Then the command prints golden file "propose"
    When "ana" runs "sign 2"
    Then the command ends with 1 and says "forbidden"
    When "luc" runs "rollout 2"
    Then the command ends with 1 and says "bundle 2 is not signed"
    When "luc" runs "sign 2"
    Then the command prints golden file "sign"
    When "luc" runs "rollout 2 --wait"
    Then the command prints golden file "rollout"
    And the progress says "in force on: i0, i1, i2"
    When "ana" runs "status"
    Then the command prints golden file "status"
    When "ana" runs "rollback 1"
    Then the command prints golden file "rollback"

  Scenario: A faulty bundle is not proposed
    Given a bundle file that sets "instance_count_max" to 0
    When "ana" runs "check FILE"
    Then the command prints golden file "check-faults" and ends with 1
    When "ana" runs "propose FILE"
    Then the command ends with 1

  Scenario: A blocked rollout names who blocks it
    Given a bundle file that sets "instance_count_max" to 6
    And "ana" runs "propose FILE"
    And "luc" runs "sign 2"
    And process "i2" is killed
    When "ana" runs "rollout 2 --wait --timeout-s 1"
    Then the command ends with 1 and says "blocked by: i2"

  Scenario: The platform is down
    Given the platform stops answering
    When "ana" runs "status"
    Then the command ends with 0 and says "in force: 1"
    And the progress says "platform: platform: "
    When "ana" runs "status --json"
    Then the status shows bundle 1 on "i0, i1, i2"
    When "ana" runs "rollback 1"
    Then the command ends with 1 and says "rollback: platform: "

  Scenario: One instance cannot be reached
    Given process "i1" is killed
    When "ana" runs "instances"
    Then the command prints golden file "instances-one-lost"
    And the progress says "i1: unreachable: "
    When "ana" runs "targets"
    Then the command ends with 0 and says "guest-portal-t0"
    When "ana" runs "dump --instance i1"
    Then the command ends with 1 and says "unreachable"

  Scenario: A request is explained and counted once
    When a caller searches "guest-portal" through "i1"
    And "ana" asks why the answer is so
    Then the command ends with 0 and says "covered = 6 shards"
    When "ana" runs "stats --json"
    Then the statistics count 1 request and 6 covered shards of "guest-portal"
    When "ana" runs "why i1.0.0"
    Then the command ends with 1 and says "not_found"

  Scenario: Targets and instances are drained
    When "ana" runs "targets"
    Then the command prints golden file "targets"
    When "ana" runs "drain-target guest-portal-t0"
    Then the command prints golden file "drain-target"
    And searches on "guest-portal" through "i0" leave target "guest-portal-t0" alone
    When "ana" runs "targets"
    Then the command ends with 0 and says "3 of 3  operator"
    When "ana" runs "drain-target nowhere"
    Then the command ends with 1 and says "not_found"
    When "ana" runs "drain-instance i2"
    Then the command ends with 0
    And process "i2" ends with 0

  Scenario: No token appears in logs, dumps or metrics
    When "ana" runs "log-level --level debug"
    And a caller searches "guest-portal" through "i0"
    And an operator calls "i0" with a wrong token
    And "ana" runs "dump"
    Then the output, the metrics and the logs hold no token
    And the logs of the instances are JSON lines

  Scenario: Wrong use is told apart from a failure
    When "ana" runs "sign"
    Then the command ends with 2
    When "ana" runs "check no-such-file.json"
    Then the command ends with 2
    When an operator without configuration runs "instances"
    Then the command ends with 2 and says "add the key"
