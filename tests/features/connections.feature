Feature: A caller receives the whole answer to its own request

  Scenario Outline: A link goes silent for good in the middle of a stream
    Given an engine and two routers that link to it through a proxy
    And the engine takes 0.1 s for each token
    When a chat streams 20 tokens and 3 of them arrived
    And the open links go silent in direction <direction>
    Then the stream is whole, with no gap above 3 s
    And the engine ran the chat 1 time

    Examples:
      | direction |
      | both      |
      | to_client |
      | to_target |

  Scenario Outline: A link goes silent for good before the first token
    Given an engine and two routers that link to it through a proxy
    And the engine takes 0.5 s for each token
    When a chat streams 3 tokens and the engine has begun
    And the open links go silent in direction <direction>
    Then the stream is whole, with no gap above 3 s
    And the engine ran the chat 1 time

    Examples:
      | direction |
      | both      |
      | to_client |
      | to_target |

  Scenario Outline: A link goes silent for good while it is idle
    Given an engine and two routers that link to it through a proxy
    When a chat streams 3 tokens and ends
    And the open links go silent in direction <direction>
    And a chat streams 3 tokens
    Then the stream is whole, with no gap above 3 s
    And the engine ran the chat 2 times

    Examples:
      | direction |
      | both      |
      | to_client |
      | to_target |

  Scenario: A link goes silent for good while a booking runs
    Given a booking service and two routers that link to it through a proxy
    And the service takes 1 s after the effect
    When a booking is sent and has run
    And the open links go silent in direction both
    Then the booking is answered within 3 s of that
    And the booking ran 1 time

  Scenario: Links and those opened in their place go silent
    Given an engine and two routers that link to it through a proxy
    And the engine takes 0.1 s for each token
    When a chat streams 20 tokens and 3 of them arrived
    And the open links go silent, and new ones too for 2 s
    Then the stream is whole, with no gap above 6 s
    And the engine ran the chat 1 time

  Scenario Outline: A process is frozen in the middle of a stream and wakes
    Given an engine and two routers that link to it through a proxy
    And the engine takes 0.1 s for each token
    When a chat streams 20 tokens and 3 of them arrived
    And <process> is frozen for 3 s
    Then the stream is whole, with no gap above 6 s
    And the engine ran the chat 1 time

    Examples:
      | process  |
      | entry-1  |
      | engine-1 |

  Scenario Outline: The link to an engine goes silent for good in a stream
    Given an engine that its sidecar reaches through a proxy
    And the engine takes 0.1 s for each token
    When a chat streams 20 tokens and 3 of them arrived
    And the connections to the engine go silent in direction <direction>
    Then the stream is whole, with no gap above 3 s
    And the engine ran the chat 1 time

    Examples:
      | direction |
      | both      |
      | to_client |

  Scenario: The link to an engine goes silent for good before the first token
    Given an engine that its sidecar reaches through a proxy
    And the engine takes 0.5 s for each token
    When a chat streams 3 tokens and the engine has begun
    And the connections to the engine go silent in direction both
    Then the stream is whole, with no gap above 3 s
    And the engine ran the chat 1 time

  Scenario: A router is killed in the middle of a stream
    Given an engine and two routers that link to it through a proxy
    And the engine takes 0.1 s for each token
    When a chat streams 20 tokens and 3 of them arrived
    And entry-1 is killed
    Then the stream is not taken for a whole one
    When the chat is sent again through entry-2
    Then the stream is whole, with no gap above 3 s

  Scenario: A graceful shutdown of a router cuts off no request in flight
    Given an engine and two routers that link to it through a proxy
    And the engine takes 0.1 s for each token
    When 6 chats stream 20 tokens through entry-1 while it is told to end
    Then every stream is whole
    And entry-1 took no new request and ended with exit code 0
