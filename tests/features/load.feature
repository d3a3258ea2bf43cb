Feature: Load, membership and overload

  Scenario: No engine carries more than a set multiple of the mean under churn and a burst
    Given a deployment with 5 engines and 3 routers
    And every answer takes about 0.4 s
    When callers of one organisation send requests continuously
    And a burst of 60 requests of the other organisation arrives twice
    And one engine joins and another leaves
    And a burst of 60 requests of the other organisation arrives twice
    Then no engine accepted a request above the load bound
    And every request was answered or got the outcome not-run with Retry-After
    And the load bound rejected no request

  Scenario: A quiet organisation is answered while another surges tenfold
    Given a deployment with 2 engines of 2 slots and 2 routers
    And every answer takes about 0.3 s
    When 4 callers of the quiet organisation and 40 of the other send requests for 6 s
    Then every request of the quiet organisation was answered
    And the surging organisation was shed with not-run and Retry-After

  Scenario: A leaving server gets no new requests although the VM list lags
    Given a deployment with 3 engines and 2 routers
    And every answer takes about 0.3 s
    And the VM list lags by 10 s
    When callers of one organisation send requests continuously
    And an engine with a long answer in flight is listed as leaving and receives SIGTERM
    Then it accepts no request after 3 s
    And every request was answered

  Scenario: A flapping engine loses no request and keeps its caches
    Given a deployment with 3 engines and 2 routers
    And 30 chats had their first turn
    When an engine leaves and returns twice while the chats continue
    And a fourth engine joins while the chats continue
    Then every request was answered
    And at least 95 % of the later turns found their prefix cached

  Scenario: Caches are found though cache events come late and with gaps
    Given a deployment with 3 engines and 2 routers
    And cache events are 1 s late and 3 of 10 are lost
    And 30 chats had their first turn
    When a fourth engine joins while the chats continue
    And an engine stops permanently while the chats continue
    Then every request was answered
    And at least 95 % of the later turns found their prefix cached

  Scenario: Routers with different VM lists lose no request
    Given a deployment with 3 engines and 2 routers, of which entry-2 can be partitioned
    And 30 chats had their first turn
    When entry-2 is partitioned from the platform
    And a fourth engine joins while the chats continue
    And an engine stops permanently while the chats continue
    Then every request was answered

  Scenario: Overload is shed at once
    Given a deployment with 1 engines and 2 routers
    And every answer takes about 2 s
    When a burst of 60 requests of the other organisation arrives
    Then each rejected request got the outcome not-run within 1.5 s
    And no request with the outcome not-run was run

  Scenario: Retries stay few while a whole pool is down
    Given a deployment with 3 engines and 2 routers
    When the whole pool of engines is killed
    And 200 requests are sent
    Then fewer than one retry per five requests was sent
    And none of the requests was answered
