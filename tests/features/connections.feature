Feature: A caller receives the complete answer to its own request

  Scenario Outline: A link permanently stops passing data in the middle of a stream
    Given an engine and two routers that connect to its sidecar through a proxy
    And the engine takes 0.1 s for each token
    When a chat streams 20 tokens and 3 of them have arrived
    And the open links stop passing data in direction <direction>
    Then the stream is complete, with no gap above 3 s
    And the engine ran the chat 1 time

    Examples:
      | direction |
      | both      |
      | to_client |
      | to_target |

  Scenario Outline: A link permanently stops passing data before the first token
    Given an engine and two routers that connect to its sidecar through a proxy
    And the engine takes 0.5 s for each token
    When a chat streams 3 tokens and the engine has started
    And the open links stop passing data in direction <direction>
    Then the stream is complete, with no gap above 3 s
    And the engine ran the chat 1 time

    Examples:
      | direction |
      | both      |
      | to_client |
      | to_target |

  Scenario Outline: A link permanently stops passing data while it is idle
    Given an engine and two routers that connect to its sidecar through a proxy
    When a chat streams 3 tokens and ends
    And the open links stop passing data in direction <direction>
    And a chat streams 3 tokens
    Then the stream is complete, with no gap above 3 s
    And the engine ran the chat 2 times

    Examples:
      | direction |
      | both      |
      | to_client |
      | to_target |

  Scenario: A link permanently stops passing data while a booking runs
    Given a booking service and two routers that connect to its sidecar through a proxy
    And the service takes 1 s after a booking takes effect
    When a booking is sent and has run
    And the open links stop passing data in direction both
    Then the booking is answered within 3 s of the stall
    And the booking ran 1 time

  Scenario: Links and their replacements stop passing data
    Given an engine and two routers that connect to its sidecar through a proxy
    And the engine takes 0.1 s for each token
    When a chat streams 20 tokens and 3 of them have arrived
    And the open links stop passing data, and new ones too for 2 s
    Then the stream is complete, with no gap above 6 s
    And the engine ran the chat 1 time

  Scenario Outline: A process is suspended in the middle of a stream and resumed
    Given an engine and two routers that connect to its sidecar through a proxy
    And the engine takes 0.1 s for each token
    When a chat streams 20 tokens and 3 of them have arrived
    And <process> is suspended for 3 s
    Then the stream is complete, with no gap above 6 s
    And the engine ran the chat 1 time

    Examples:
      | process  |
      | entry-1  |
      | engine-1 |

  Scenario Outline: The connection to an engine permanently stops passing data in the middle of a stream
    Given an engine that its sidecar reaches through a proxy
    And the engine takes 0.1 s for each token
    When a chat streams 20 tokens and 3 of them have arrived
    And the connections to the engine stop passing data in direction <direction>
    Then the stream is complete, with no gap above 3 s
    And the engine ran the chat 1 time

    Examples:
      | direction |
      | both      |
      | to_client |

  Scenario: The connection to an engine permanently stops passing data before the first token
    Given an engine that its sidecar reaches through a proxy
    And the engine takes 0.5 s for each token
    When a chat streams 3 tokens and the engine has started
    And the connections to the engine stop passing data in direction both
    Then the stream is complete, with no gap above 3 s
    And the engine ran the chat 1 time

  Scenario: A router is killed in the middle of a stream
    Given an engine and two routers that connect to its sidecar through a proxy
    And the engine takes 0.1 s for each token
    When a chat streams 20 tokens and 3 of them have arrived
    And entry-1 is killed
    Then the caller detects that the stream is incomplete
    When the chat is sent again through entry-2
    Then the stream is complete, with no gap above 3 s

  Scenario: A graceful shutdown of a router cuts off no request in flight
    Given an engine and two routers that connect to its sidecar through a proxy
    And the engine takes 0.1 s for each token
    When 6 chats stream 20 tokens through entry-1 while it receives SIGTERM
    Then every stream is complete
    And entry-1 accepted no new request and exited with code 0
