Feature: One request that crashes servers fells at most two

  Scenario: A crashing chat is quarantined after its second crash
    Given four engines and four booking services that a marked body crashes
    When the crashing chat is sent through entry-1
    Then its caller is told quarantined
    And two servers crashed
    When the servers are back
    And the chat is sent 8 times, 0 s apart
    Then every caller of it is told quarantined at once
    And two servers crashed

  Scenario: An impatient caller re-sends a crashing chat
    Given four engines and four booking services that a marked body crashes
    When the chat is sent 8 times, 0.1 s apart
    Then every caller of it is told a true outcome
    And two servers crashed

  Scenario: Chats in flight beside a crashing one are answered
    Given four engines and four booking services that a marked body crashes
    When 12 chats are in flight
    And the crashing chat is sent through entry-1
    Then its caller is told quarantined
    And every other chat is answered with its own text
    And two servers crashed

  Scenario: Bookings in flight beside a crashing one are told unknown
    Given four engines and four booking services that a marked body crashes
    When 12 bookings are in flight
    And a crashing booking is sent with a key of its own
    Then its caller is told unknown
    And each other booking is answered or told unknown and ran at most once

  Scenario: A crashing booking is sent again and again
    Given four engines and four booking services that a marked body crashes
    When a crashing booking is sent with a key of its own
    Then its caller is told unknown
    When it is sent again with the same key
    Then its caller is told unknown
    When a crashing booking is sent with a key of its own
    Then its caller is told unknown
    When a crashing booking is sent with a key of its own
    Then its caller is told quarantined
    And two servers crashed
