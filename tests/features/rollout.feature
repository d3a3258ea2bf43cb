Feature: An accepted bundle is in force everywhere within seconds and never reverts

  Scenario: Of two operators who race, one wins on every process and the other is told
    Given a deployment with 2 engines and 2 routers
    When ana and bia sign bundles that follow the same one
    And both roll out at once while the log service is slow
    Then one of them won and the other is told whose version won
    And the log holds the records of both
    And every process has the winner's version
    And the versions in force only rose

  Scenario: A rollout whose append answer is lost ends well
    Given a deployment with 2 engines and 2 routers
    When the log service loses the answer to the next append
    And ana rolls out v2
    Then the rollout ends with code 0
    And the log holds 2 records
    And every process has v2
    And the versions in force only rose

  Scenario: A router that starts while the log service is down serves the bundle in force
    Given a deployment with 2 engines and 2 routers
    When the log service goes down
    And ana rolls out v2
    Then the rollout ends with code 1
    When entry-3 starts
    Then entry-3 is ready and has v1
    And entry-3 answers a chat
    When the log service is back
    And ana rolls out v3
    Then the rollout ends with code 0
    And every process has v3
    And the versions in force only rose

  Scenario: A router that starts and reaches neither log service nor peer serves nothing
    Given a deployment with 1 engines and 1 routers
    When the log service goes down
    And every sidecar is killed
    And entry-3 starts
    Then entry-3 is not ready and turns a chat away as not run
    When the log service is back
    Then entry-3 is ready and has v1

  Scenario: A router frozen through two rollouts uses the newest bundle for its first request
    Given a deployment with 2 engines and 2 routers
    When entry-2 freezes
    And ana rolls out v2
    Then the rollout ends with code 5 and names entry-2
    When ana rolls out v3 without motolitoral
    And entry-2 wakes
    Then entry-2 refuses the first request of motolitoral
    And every process has v3
    And the versions in force only rose

  Scenario: An accepted bundle is in force on every process within four seconds
    Given a deployment with 3 engines and 3 routers
    When ana appends v2 to v4, one after the other
    Then each was in force on every process within 4 seconds
    And the versions in force only rose

  Scenario Outline: A record with <fault> changes nothing
    Given a deployment with 1 engines and 2 routers
    When a record with <fault> is appended
    Then every process has read it and still has v1
    When ana rolls out v2
    Then the rollout ends with code 0
    And every process has v2
    And the versions in force only rose

    Examples:
      | fault               |
      | a bad signature     |
      | an unknown operator |
      | an invalid bundle   |
      | noise               |
      | an old parent       |

  Scenario: An old record that is replayed changes nothing
    Given a deployment with 1 engines and 2 routers
    When ana rolls out v2
    And the record of v1 is appended again
    Then every process has read it and still has v2
    And the versions in force only rose

  Scenario: A bundle outlives the time for which the log service keeps records
    Given a deployment with 1 engines and 2 routers
    When the log service keeps records for 6 seconds
    And the record of v1 has expired
    And entry-3 starts
    Then entry-3 is ready and has v1
    And the versions in force only rose
