Feature: Orders come from the engine's own sidecar and never empty the pool

  Scenario Outline: A new model version passes through the pool with at most <limit> engines at once
    Given 4 engines that take 1 s to load a model
    When a bundle wants version 2 of the model and lets <limit> be unavailable
    And chats are sent until every engine has version 2
    Then at most <limit> engines loaded at once
    And each engine got one order
    And no chat reached an engine that was loading
    And every chat was answered

    Examples:
      | limit |
      | 1     |
      | 2     |

  Scenario: The weight store's rate limit is kept by the pool
    Given 3 engines that take 0 s to load a model
    And a weight store that grants one request a second
    When a bundle wants version 2 of the model and lets 3 be unavailable
    And every engine has version 2
    Then the sidecars waited as the weight store asked
    And each engine got one order

  Scenario: An engine that joins with the wanted version gets no order
    Given 2 engines that take 0 s to load a model
    When a bundle wants version 2 of the model and lets 1 be unavailable
    And every engine has version 2
    And the sidecar of engine-1 is restarted
    And a bundle wants version 3 of the model and lets 1 be unavailable
    And every engine has version 3
    Then each engine got two orders

  Scenario Outline: A frozen sidecar that wakes gives no order past a newer one, <engine>
    Given an engine <engine>
    When its sidecar freezes
    And a newer sidecar of its VM starts at another address
    And a bundle wants version 2 of the model and lets 1 be unavailable
    And every engine has version 2
    And the frozen sidecar wakes
    And a bundle wants version 3 of the model and lets 1 be unavailable
    And every engine has version 3
    Then all orders carry the number of the newer sidecar
    And the older sidecar gave up its orders

    Examples:
      | engine                             |
      | that checks fencing numbers        |
      | that does not check fencing numbers |
