Feature: An engine takes orders only from its own sidecar, and orders never make a whole pool unavailable

  Scenario Outline: A new model version rolls through the pool with at most <limit> engines loading at once
    Given 4 engines that take 1 s to load a model
    When a bundle sets model version 2 with max_unavailable <limit>
    And chats are sent until every engine has version 2
    Then at most <limit> engines loaded at once
    And each engine got one order
    And no chat reached an engine that was loading
    And every chat was answered

    Examples:
      | limit |
      | 1     |
      | 2     |

  Scenario: The pool respects the weight store's rate limit
    Given 3 engines that take 0 s to load a model
    And a weight store that grants one request per second
    When a bundle sets model version 2 with max_unavailable 3
    And every engine has version 2
    Then the sidecars waited as long as the weight store required
    And each engine got one order

  Scenario: An engine that joins with the configured version gets no order
    Given 2 engines that take 0 s to load a model
    When a bundle sets model version 2 with max_unavailable 1
    And every engine has version 2
    And the sidecar of engine-1 is restarted
    And a bundle sets model version 3 with max_unavailable 1
    And every engine has version 3
    Then each engine got two orders

  Scenario Outline: A suspended sidecar that resumes sends no order after its replacement, with an engine <engine>
    Given an engine <engine>
    When its sidecar is suspended
    And a replacement sidecar of its VM starts at another address
    And a bundle sets model version 2 with max_unavailable 1
    And every engine has version 2
    And the suspended sidecar is resumed
    And a bundle sets model version 3 with max_unavailable 1
    And every engine has version 3
    Then all orders carry the fencing number of the replacement sidecar
    And the older sidecar stopped sending orders

    Examples:
      | engine                             |
      | that checks fencing numbers        |
      | that does not check fencing numbers |
