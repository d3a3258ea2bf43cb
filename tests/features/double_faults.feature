Feature: Two faults at once

  Scenario: Chats are answered and no booking runs twice while the log is down and an engine is lost
    Given a deployment with 3 engines and 2 services
    When the log service goes down
    And engine-1 is killed
    And engine-4 joins
    Then 20 chats are answered
    And a booking gets the outcome not-run with Retry-After
    When the log service recovers
    Then the same booking is answered when it is sent again
    And every booking ran at most once

  Scenario: A booking runs once when its router is killed while links are stalled
    Given a deployment with 1 engines and 2 services behind link proxies
    And the services take 1 s for a booking
    When a booking is sent through entry-1
    And every link stalls
    And entry-1 is killed
    Then the same booking sent through entry-2 is answered
    And every booking ran at most once

  Scenario: One of two conflicting rollouts wins while a data centre is partitioned from the platform
    Given a deployment whose entry-2 and engine-2 reach the platform through proxies
    When their data centre is partitioned from the platform
    And two operators roll out conflicting bundles
    Then one operator won and the other is notified
    And every process has the winner's version, fetched from its peers if necessary
    When the partition is healed
    Then every process still has the winner's version
    And no process ever had the loser's version
