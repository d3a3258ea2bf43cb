Feature: A request marked non-idempotent runs at most once

  Background:
    Given three booking services behind sidecars and two routers

  Scenario: Two routers race with one key
    Given the services take 0.3 s before the effect
    When the booking is sent 6 times at once
    Then every caller is told answered
    And the booking ran 1 time

  Scenario: The key is re-sent through another router while links are frozen
    Given the services take 2 s after the effect
    When the booking is sent through entry-1 and has run
    And the open links to the holder freeze
    And the booking is sent through entry-2
    Then every caller is told answered
    And the booking ran 1 time

  Scenario: The key is re-sent after its router was killed
    Given the services take 1 s after the effect
    When the booking is sent through entry-1 and has run
    And entry-1 is killed
    And the booking is sent through entry-2
    Then the last caller is told answered
    And the booking ran 1 time

  Scenario: The key is re-sent after its sidecar was killed
    Given the services take 1 s after the effect
    When the booking is sent through entry-1 and has run
    And the holder's sidecar is killed
    And the booking is sent through entry-2
    Then every caller is told unknown
    And the booking ran 1 time
    When the holder's sidecar is started again
    And the booking is sent through entry-1
    Then the last caller is told unknown
    And the booking ran 1 time

  Scenario: The key is re-sent after its server was killed
    Given the services take 1 s after the effect
    When the booking is sent through entry-1 and has run
    And the holder's server is killed
    And the booking is sent through entry-2
    Then every caller is told unknown
    When the holder's server is started again
    And the booking is sent through entry-1
    Then the last caller is told unknown
    And the booking ran 1 time

  Scenario: The key is re-sent after its answered sidecar was restarted
    When the booking is sent through entry-1 and has run
    And the holder's sidecar is killed
    And the holder's sidecar is started again
    And the booking is sent through entry-2
    Then the last caller is told unknown
    And the booking ran 1 time

  Scenario: A sidecar is stopped between claim and run and woken later
    When the booking is claimed by a sidecar that is stopped before the run
    And the booking is sent through entry-2
    Then every caller is told unknown
    And the booking ran 0 times
    When the stopped sidecar is woken
    Then the booking ran at most 1 time
    When the booking is sent through entry-1
    Then the last caller is told answered
    And the booking ran 1 time

  Scenario: A sidecar is stopped until its claim has expired
    Given the log keeps records for 2 s
    When the booking is claimed by a sidecar that is stopped before the run
    And 2.2 s pass
    And the stopped sidecar's VM is unlisted
    And the booking is sent through entry-2
    Then the last caller is told answered
    When the stopped sidecar is woken
    Then the booking ran 1 time

  Scenario: The answer to an append is lost after its effect
    Given the log loses the answer to the next append
    When the booking is sent through entry-1
    And the booking is sent through entry-2
    Then every caller is told answered
    And the booking ran 1 time

  Scenario: The log is down and comes back
    Given the log is down
    When the booking is sent through entry-1
    Then the last caller is told not-run within 3 s
    And the booking ran 0 times
    When the log is back
    And the booking is sent through entry-2
    Then the last caller is told answered
    And the booking ran 1 time

  Scenario: The log is too slow for a claim
    Given the log takes 5 s for each call
    When the booking is sent through entry-1
    Then the last caller is told not-run within 8 s
    And the booking ran 0 times
    When the log is back
    And 6 s pass
    And the booking is sent through entry-2
    Then the last caller is told answered
    And the booking ran 1 time

  Scenario: A key is used again with another body
    When the booking is sent through entry-1
    And another booking is sent with the same key
    Then the last caller is refused with status 409
    And the booking ran 1 time

  Scenario: A sidecar that missed claims takes no new keys for a window
    Given the log keeps records for 4 s
    When a sidecar is stopped while claims expire that it has not read
    Then it refuses new keys until the hole is older than the window
