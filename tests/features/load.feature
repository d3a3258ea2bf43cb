Feature: Load, membership and overload

  Scenario: No engine carries more than a set multiple of the mean under churn and a burst
    Given a deployment with 5 engines and 3 routers
    And every answer takes about 0.4 s
    When callers of one organisation call all the time
    And a burst of 60 requests of the other organisation arrives twice
    And one engine joins and another leaves
    And a burst of 60 requests of the other organisation arrives twice
    Then no engine took a request above the bound on the mean
    And every reply was answered or told not-run with Retry-After
    And nothing was refused by the load bound

  Scenario: A quiet organisation is answered while another surges tenfold
    Given a deployment with 2 engines of 2 slots and 2 routers
    And every answer takes about 0.3 s
    When 4 callers of the quiet organisation and 40 of the other call for 6 s
    Then every request of the quiet organisation was answered
    And the surging organisation was shed with not-run and Retry-After

  Scenario: A leaving server gets no new work though the VM list lags
    Given a deployment with 3 engines and 2 routers
    And every answer takes about 0.3 s
    And the VM list lags by 10 s
    When callers of one organisation call all the time
    And an engine with a long answer in flight is told to leave
    Then it takes no request after 3 s
    And every request was answered

  Scenario: A flapping engine loses no request and keeps its caches
    Given a deployment with 3 engines and 2 routers
    And 30 chats had their first turn
    When an engine leaves and comes back twice while the chats go on
    And a fourth engine joins while the chats go on
    Then every request was answered
    And returning chats found their prefix in 95 of 100 cases

  Scenario: Caches are found though cache events come late and with gaps
    Given a deployment with 3 engines and 2 routers
    And cache events come 1 s late and 3 of 10 are lost
    And 30 chats had their first turn
    When a fourth engine joins while the chats go on
    And an engine stops for good while the chats go on
    Then every request was answered
    And returning chats found their prefix in 95 of 100 cases

  Scenario: Routers with different VM lists lose no request
    Given a deployment with 3 engines and 2 routers, of which entry-2 can be cut off
    And 30 chats had their first turn
    When entry-2 no longer reaches the platform
    And a fourth engine joins while the chats go on
    And an engine stops for good while the chats go on
    Then every request was answered

  Scenario: Overload is shed at once
    Given a deployment with 1 engines and 2 routers
    And every answer takes about 2 s
    When a burst of 60 requests of the other organisation arrives
    Then what did not fit was told not-run within 1.5 s
    And every request told not-run did not run

  Scenario: Retries stay few while a whole pool is out
    Given a deployment with 3 engines and 2 routers
    When the whole pool of engines is killed
    And 200 requests are sent
    Then fewer than a fifth as many retries were sent
    And none of the requests was answered
