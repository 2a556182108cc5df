Feature: Operator command line
  lycheectl runs as a separate process against a local deployment.

  Background:
    Given a deployment of 3 instances

  Scenario: A bundle is proposed, signed, rolled out and rolled back
    Given a bundle file that sets "instance_count_max" to 6
    When "ana" runs "check FILE"
    Then the command exits with code 0
    When "ana" runs "diff FILE"
    Then the output matches golden file "diff"
    When "ana" runs "propose FILE"
    Then the output matches golden file "propose"
    When "ana" runs "sign 2"
    Then the command exits with code 1 and prints "forbidden"
    When "luc" runs "rollout 2"
    Then the command exits with code 1 and prints "bundle 2 is not signed"
    When "luc" runs "sign 2"
    Then the output matches golden file "sign"
    When "luc" runs "rollout 2 --wait"
    Then the output matches golden file "rollout"
    And standard error contains "in force on: i0, i1, i2"
    When "ana" runs "status"
    Then the output matches golden file "status"
    When "ana" runs "rollback 1"
    Then the output matches golden file "rollback"

  Scenario: An invalid bundle is not proposed
    Given a bundle file that sets "instance_count_max" to 0
    When "ana" runs "check FILE"
    Then the output matches golden file "check-faults" and the exit code is 1
    When "ana" runs "propose FILE"
    Then the command exits with code 1

  Scenario: A blocked rollout lists the instances that block it
    Given a bundle file that sets "instance_count_max" to 6
    And "ana" runs "propose FILE"
    And "luc" runs "sign 2"
    And process "i2" is killed
    When "ana" runs "rollout 2 --wait --timeout-s 1"
    Then the command exits with code 1 and prints "blocked by: i2"

  Scenario: Status works and a rollback fails while the platform is down
    Given every call to the platform fails
    When "ana" runs "status"
    Then the command exits with code 0 and prints "in force: 1"
    And standard error contains "platform: platform: "
    When "ana" runs "status --json"
    Then the status shows bundle 1 in force on "i0, i1, i2"
    When "ana" runs "rollback 1"
    Then the command exits with code 1 and prints "rollback: platform: "

  Scenario: An unreachable instance is reported and the others are shown
    Given process "i1" is killed
    When "ana" runs "instances"
    Then the output matches golden file "instances-one-lost"
    And standard error contains "i1: unreachable: "
    When "ana" runs "targets"
    Then the command exits with code 0 and prints "guest-portal-t0"
    When "ana" runs "dump --instance i1"
    Then the command exits with code 1 and prints "unreachable"

  Scenario: A request can be looked up and is counted once
    When a caller searches "guest-portal" through "i1"
    And "ana" runs "why" for the last answer
    Then the command exits with code 0 and prints "covered = 6 shards"
    When "ana" runs "stats --json"
    Then the statistics count 1 request and 6 covered shards of "guest-portal"
    When "ana" runs "why i1.0.0"
    Then the command exits with code 1 and prints "not_found"

  Scenario: Targets and instances are drained
    When "ana" runs "targets"
    Then the output matches golden file "targets"
    When "ana" runs "drain-target guest-portal-t0"
    Then the output matches golden file "drain-target"
    And searches of "guest-portal" through "i0" send no requests to target "guest-portal-t0"
    When "ana" runs "targets"
    Then the command exits with code 0 and prints "3 of 3  operator"
    When "ana" runs "drain-target nowhere"
    Then the command exits with code 1 and prints "not_found"
    When "ana" runs "drain-instance i2"
    Then the command exits with code 0
    And process "i2" exits with code 0

  Scenario: No token appears in logs, dumps or metrics
    When "ana" runs "log-level --level debug"
    And a caller searches "guest-portal" through "i0"
    And an operator calls "i0" with an invalid token
    And "ana" runs "dump"
    Then the output, the metrics and the logs contain no token
    And the instances log JSON lines, one of them for the search

  Scenario: Usage errors have their own exit code
    When "ana" runs "sign"
    Then the command exits with code 2
    When "ana" runs "check no-such-file.json"
    Then the command exits with code 2
    When an operator without configuration runs "instances"
    Then the command exits with code 2 and prints "add the key"
