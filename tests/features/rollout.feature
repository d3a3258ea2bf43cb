Feature: An accepted bundle is active everywhere within seconds and never reverts

  Scenario: Of two operators who roll out at once, one wins on every process and the other is notified
    Given a deployment with 2 engines and 2 routers
    When ana and bia sign bundles with the same parent
    And both roll out at once while the log service is slow
    Then one of them won and the other is told which version won
    And the log holds the records of both
    And every process has the winner's version
    And the active version never went back

  Scenario: A rollout succeeds when the response to its append is lost
    Given a deployment with 2 engines and 2 routers
    When the log service loses the response to the next append
    And ana rolls out v2
    Then the rollout exits with code 0
    And the log holds 2 records
    And every process has v2
    And the active version never went back

  Scenario: A router that starts while the log service is down serves the active bundle
    Given a deployment with 2 engines and 2 routers
    When the log service goes down
    And ana rolls out v2
    Then the rollout exits with code 1
    When entry-3 starts
    Then entry-3 is ready and has v1
    And entry-3 answers a chat
    When the log service recovers
    And ana rolls out v3
    Then the rollout exits with code 0
    And every process has v3
    And the active version never went back

  Scenario: A router that starts and reaches neither log service nor peer rejects requests
    Given a deployment with 1 engines and 1 routers
    When the log service goes down
    And every sidecar is killed
    And entry-3 starts
    Then entry-3 is not ready and rejects a chat with the outcome not-run
    When the log service recovers
    Then entry-3 is ready and has v1

  Scenario: A router suspended during two rollouts uses the newest bundle for its first request
    Given a deployment with 2 engines and 2 routers
    When entry-2 is suspended
    And ana rolls out v2
    Then the rollout exits with code 5 and names entry-2
    When ana rolls out v3 without motolitoral
    And entry-2 is resumed
    Then entry-2 rejects the first request of motolitoral
    And every process has v3
    And the active version never went back

  Scenario: An accepted bundle is active on every process within four seconds
    Given a deployment with 3 engines and 3 routers
    When ana appends v2 to v4, one after the other
    Then each was active on every process within 4 seconds
    And the active version never went back

  Scenario Outline: A record with <fault> changes nothing
    Given a deployment with 1 engines and 2 routers
    When a record with <fault> is appended
    Then every process has read it and still has v1
    When ana rolls out v2
    Then the rollout exits with code 0
    And every process has v2
    And the active version never went back

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
    And the active version never went back

  Scenario: A bundle outlives the retention of the log service
    Given a deployment with 1 engines and 2 routers
    When the log service keeps records for 6 seconds
    And the record of v1 has expired
    And entry-3 starts
    Then entry-3 is ready and has v1
    And the active version never went back
