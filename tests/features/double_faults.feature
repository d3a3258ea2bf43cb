Feature: Two faults at once

  Scenario: Chats go on and no booking doubles while the log is down and an engine is lost
    Given a deployment with 3 engines and 2 services
    When the log service goes down
    And engine-1 is killed
    And engine-4 joins
    Then 20 chats are answered
    And a booking is told not-run and when to come back
    When the log service is back
    Then the same booking is answered when it is sent again
    And every booking ran at most once

  Scenario: A booking whose router is killed on a frozen link runs once
    Given a deployment with 1 engines and 2 services behind link proxies
    And the services take 1 s for a booking
    When a booking is sent through entry-1
    And every link freezes
    And entry-1 is killed
    Then the same booking sent through entry-2 is answered
    And every booking ran at most once

  Scenario: Conflicting rollouts while a data centre is cut from the platform leave one winner
    Given a deployment whose entry-2 and engine-2 reach the platform through proxies
    When their data centre is cut from the platform
    And two operators roll out conflicting bundles
    Then one operator won and the other is told so
    And every process has the winner's version, from its peers at need
    When the cut is healed
    Then every process still has the winner's version
    And no process ever had the loser's version
