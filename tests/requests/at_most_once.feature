Feature: Non-idempotent requests run at most once

  Scenario: No sequence of crashes, restarts, partitions, outages and lost responses runs a key twice
    Then a state machine of three processes finds no key that ran twice and no wrong not-run verdict

  Scenario: A renewal that takes effect late does not prove that all claims exist
    Given a holder that runs keys without claims after an outage of 5 seconds
    When its last renewal took effect 2 seconds late and it ended 4 seconds later
    Then an outage grace of 5 seconds with a write delay of 2 seconds does not prove all claims
    And the same end within 2 seconds of the renewal proves all claims

  Scenario: A new holder does not run keys that may have run without a claim
    When a holder runs a key without a claim and crashes, and another process takes over its slot
    Then the key ran once and the answer is may-have-run

  Scenario: A slot that is handed on twice does not run keys that may have run without a claim
    When a holder runs a key without a claim and crashes, and its successor leaves soon after
    Then the key ran once and the answer is may-have-run

  Scenario: A successor that was suspended does not take old evidence for a proof of claims
    When a successor is suspended after the former holder's last renewal, for longer than the grace
    Then it takes over the slots as uncertain

  Scenario: Suspicion does not free the slots of a live holder
    When a holder loses the key-value service, is suspected by the others and runs without claims
    Then only the holder runs the key, and no other process acquires its slot

  Scenario: A resend during an outage is answered from the key records
    Given a process that holds all slots
    When a key runs, the key-value service goes down and the key is resent
    Then the backend ran it once and both answers are equal

  Scenario: A live holder keeps running keys through an outage
    Given a process that holds all slots
    When the key-value service goes down and a new key arrives
    Then it runs after the outage grace, and its claim is written once the service is up again

  Scenario: A key reused for a different request is refused
    Given a process that holds all slots
    When a key arrives again with a different request
    Then the second request is refused as not run
