Feature: Graceful shutdown of servers

  Scenario: A sidecar that is told to stop cuts no request in flight
    Given a deployment with 3 engines and 2 routers
    And every answer takes about 0.3 s
    When callers of one organisation call all the time
    And a sidecar gets SIGTERM
    Then the sidecar ends with exit code 0
    And every request was answered

  Scenario: An engine that leaves is empty before it stops
    Given a deployment with 3 engines and 2 routers
    And every answer takes about 0.3 s
    When callers of one organisation call all the time
    And an engine is listed as leaving and stops when it is idle
    Then every request was answered

  Scenario: A leaving home hands its directory and caches to the next homes
    Given a deployment with 3 engines and 2 routers
    And 30 chats had their first turn
    When a sidecar with warm chats gets SIGTERM
    And every chat has another turn
    Then every request was answered
    And returning chats found their prefix in 95 of 100 cases
