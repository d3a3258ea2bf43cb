Feature: Requests marked non-idempotent run at most once

  Background:
    Given three booking services behind sidecars and two routers

  Scenario: Two routers race with one key
    Given the services take 0.3 s before a booking takes effect
    When the booking is sent 6 times at once, beside other bookings
    Then every caller gets the outcome answered
    And the booking ran 1 time

  Scenario: A key is re-sent through another router while links are stalled
    Given the services take 2 s after a booking takes effect
    When the booking is sent through entry-1 and has run
    And the open links to the claim holder stall
    And the booking is sent through entry-2
    Then every caller gets the outcome answered
    And the booking ran 1 time

  Scenario: A key is re-sent after its router was killed
    Given the services take 1 s after a booking takes effect
    When the booking is sent through entry-1 and has run
    And entry-1 is killed
    And the booking is sent through entry-2
    Then the last caller gets the outcome answered
    And the booking ran 1 time

  Scenario: A key is re-sent after its sidecar was killed
    Given the services take 1 s after a booking takes effect
    When the booking is sent through entry-1 and has run
    And the claim holder's sidecar is killed
    And the booking is sent through entry-2
    Then every caller gets the outcome unknown
    And the booking ran 1 time
    When the claim holder's sidecar is started again
    And the booking is sent through entry-1
    Then the last caller gets the outcome unknown
    And the booking ran 1 time

  Scenario: A key is re-sent after its server was killed
    Given the services take 1 s after a booking takes effect
    When the booking is sent through entry-1 and has run
    And the claim holder's server is killed
    And the booking is sent through entry-2
    Then every caller gets the outcome unknown
    When the claim holder's server is started again
    And the booking is sent through entry-1
    Then the last caller gets the outcome unknown
    And the booking ran 1 time

  Scenario: A key is re-sent after the sidecar that answered it was restarted
    When the booking is sent through entry-1 and has run
    And the claim holder's sidecar is killed
    And the claim holder's sidecar is started again
    And the booking is sent through entry-2
    Then the last caller gets the outcome unknown
    And the booking ran 1 time

  Scenario: A sidecar is suspended between claim and run and resumed later
    When the booking is claimed by a sidecar that is suspended before the run
    And the booking is sent through entry-2
    Then every caller gets the outcome unknown
    And the booking ran 0 times
    When the suspended sidecar is resumed
    Then the booking ran at most 1 time
    When the booking is sent through entry-1
    Then the last caller gets the outcome answered
    And the booking ran 1 time

  Scenario: A sidecar is suspended until its claim has expired
    Given the log keeps records for 2 s
    When the booking is claimed by a sidecar that is suspended before the run
    And 2.2 s pass
    And the suspended sidecar's VM is removed from the VM list
    And the booking is sent through entry-2
    Then the last caller gets the outcome answered
    When the suspended sidecar is resumed
    Then the booking ran 1 time

  Scenario: The response to a log append is lost after the record was stored
    Given the log loses the response to the next append
    When the booking is sent through entry-1
    And the booking is sent through entry-2
    Then every caller gets the outcome answered
    And the booking ran 1 time

  Scenario: The log fails and recovers
    Given the log is down
    When the booking is sent through entry-1
    Then the last caller gets the outcome not-run within 3 s
    And the booking ran 0 times
    When the log recovers
    And the booking is sent through entry-2
    Then the last caller gets the outcome answered
    And the booking ran 1 time

  Scenario: The log is too slow for a claim
    Given the log takes 5 s for each request
    When the booking is sent through entry-1
    Then the last caller gets the outcome not-run within 8 s
    And the booking ran 0 times
    When the log recovers
    And 6 s pass
    And the booking is sent through entry-2
    Then the last caller gets the outcome answered
    And the booking ran 1 time

  Scenario: A key is reused with another body
    When the booking is sent through entry-1
    And another booking is sent with the same key
    Then the last caller is rejected with status 409
    And the booking ran 1 time

  Scenario: A sidecar that missed claims rejects new keys for one claim window
    Given the log keeps records for 4 s
    When a sidecar is suspended until claims that it has not read have expired
    Then it rejects new keys until the missed claims are older than the claim window
