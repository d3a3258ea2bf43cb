Feature: Graceful shutdown of servers

  Scenario: A sidecar that is told to stop cuts no request in flight
    Given a deployment with 3 engines and 2 routers
    And every answer takes about 0.3 s
    When callers of one organisation send requests continuously
    And a sidecar receives SIGTERM
    Then the sidecar exits with code 0
    And every request was answered

  Scenario: A leaving engine is idle before it stops
    Given a deployment with 3 engines and 2 routers
    And every answer takes about 0.3 s
    When callers of one organisation send requests continuously
    And an engine is listed as leaving and stops when it is idle
    Then every request was answered

  Scenario: A leaving home VM hands its directory and caches to its successors
    Given a deployment with 3 engines and 2 routers
    And 30 chats had their first turn
    When a sidecar with cached chats receives SIGTERM
    And every chat has another turn
    Then every request was answered
    And at least 95 % of the later turns found their prefix cached
