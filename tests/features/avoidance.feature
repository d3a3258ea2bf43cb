Feature: Slow and failing servers do not hold up callers

  Scenario: A failing engine is avoided, and comes back
    Given three engines and a router
    When engine-1 answers every request with an error
    And 60 chats are sent one by one
    Then every chat is answered
    And engine-1 got at most 15 of them
    When engine-1 is well again
    Then chats reach engine-1 again within 40 s

  Scenario: A slow engine is avoided, and comes back
    Given three engines and a router
    When 40 chats are sent one by one
    And engine-1 becomes 100 times slower
    And 60 chats are sent one by one
    Then every chat is answered
    And engine-1 got at most 15 of them
    When engine-1 is well again
    Then chats reach engine-1 again within 40 s

  Scenario: A stalled status check is answered by another server
    Given three services and a router
    When service-1 takes 20 s for each call
    And 9 rooms' status is read
    Then each status is answered within 3 s

  Scenario: A stalled booking is not sent to another server
    Given three services and a router
    When every service takes 3 s after the effect
    And a booking is sent with a timeout of 1 s
    Then the caller is told unknown within 2 s
    And the booking ran 1 time
