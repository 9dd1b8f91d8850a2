Feature: Non-idempotent requests run at most once

  Scenario: No interleaving of kills, restarts, cuts, outages and lost answers runs a key twice
    Then a state machine of three processes finds no key that ran twice and no false not-run

  Scenario: A renewal that takes effect late is no proof of claims
    Given a holder that goes on without claims after 5 seconds
    When its last renewal took effect 2 seconds late and it ended 4 seconds later
    Then a patience of 5 with a write delay of 2 seconds gives no proof
    And the same end within 2 seconds of the renewal gives proof

  Scenario: A successor does not trust keys that may have run without a claim
    When a holder runs a key without a claim, dies, and another process gets the key
    Then the key ran once and the answer is may-have-run

  Scenario: Suspicion is no proof of an end
    When a holder is cut off from the service and suspected, and goes on without claims
    Then only the holder runs the key, and nobody else takes its slot

  Scenario: A resend is answered from memory while the service is away
    Given a process that holds all slots
    When a key runs, the service goes away and the key is sent again
    Then the backend ran it once and both answers are alike

  Scenario: A living holder goes on through an outage
    Given a process that holds all slots
    When the service goes away and a new key comes
    Then it runs after the patience, and its claim is written when the service is back

  Scenario: A key that is used for another request is refused
    Given a process that holds all slots
    When a key comes again with another request
    Then the second request is refused as not run
