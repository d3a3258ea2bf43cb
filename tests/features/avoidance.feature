Feature: Slow and failing servers do not delay callers

  Scenario: A failing engine is ejected and readmitted after recovery
    Given three engines and a router
    When engine-1 answers every request with an error
    And 60 chats are sent one after another
    Then every chat is answered
    And engine-1 received at most 15 of them
    When engine-1 recovers
    Then engine-1 receives chats again within 40 s

  Scenario: A slow engine is ejected and readmitted after recovery
    Given three engines and a router
    When 40 chats are sent one after another
    And engine-1 becomes 100 times slower
    And 60 chats are sent one after another
    Then every chat is answered
    And engine-1 received at most 15 of them
    When engine-1 recovers
    Then engine-1 receives chats again within 40 s

  Scenario: A stalled status request is answered by another server
    Given three services and a router
    When service-1 takes 20 s for each request
    And the status of 9 rooms is read
    Then each status request is answered within 3 s

  Scenario: A stalled booking is not retried on another server
    Given three services and a router
    When every service takes 3 s after a booking takes effect
    And a booking is sent with a timeout of 1 s
    Then the caller gets the outcome unknown within 2 s
    And the booking ran 1 time
