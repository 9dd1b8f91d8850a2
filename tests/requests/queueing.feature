Feature: Admission, retries and poison requests

  Scenario: Workspaces share the capacity by weight
    Given a fair queue with capacity 1000 that admits 1 request at a time
    When workspace "large" sends 300 requests and "small" sends 30, with weights 1 and 2
    Then 30 of the first 45 answers go to "small"

  Scenario: The fair queue admits in the same order as a reference scheduler
    Then for random arrivals the order of admission equals that of a reference scheduler

  Scenario: A full queue sheds requests of the workspace with the most queued
    Given a fair queue with capacity 10 that admits 1 request at a time
    When workspace "large" sends 30 requests and "small" sends 2, with weights 1 and 1
    Then every request of "small" is admitted and 21 of "large" are refused as not run

  Scenario: Cancelled requests leak no capacity
    Then after random cancellations the queue is empty and admits new requests up to its limit

  Scenario: A request that would miss its deadline is refused at once
    Given a fair queue with capacity 10 that admits 1 request at a time
    When a request arrives with 0.05 seconds to its deadline and runs take 1 second
    Then the request is refused as not run without waiting

  Scenario Outline: The next step after a failed attempt
    When <request> fails with verdict <verdict> and reason "<reason>"
    Then the next step is "<step>"

    Examples:
      | request                 | verdict      | reason          | step    |
      | an idempotent request   | not-run      | unreachable     | retry   |
      | an idempotent request   | may-have-run | connection-lost | retry   |
      | an idempotent request   | ran          | error           | give-up |
      | a non-idempotent request | not-run     | not-holder      | retry   |
      | a non-idempotent request | may-have-run | connection-lost | pause  |
      | a non-idempotent request | may-have-run | claimed        | give-up |

  Scenario: Retries stay within the retry budget
    Then 1000 first attempts that all fail allow at most 110 retries

  Scenario: The final verdict covers all attempts
    When the request may have run in one attempt and did not run in the next
    Then the final verdict is may-have-run

  Scenario: Two crashes make a request poison; one crash and an answered run do not
    Then a fingerprint is quarantined after one crash and poison after two
    And a clearance ends a quarantine but not poison, in whichever order the messages arrive
