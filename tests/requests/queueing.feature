Feature: Admission, retries and poison

  Scenario: Capacity goes to workspaces by weight
    Given a fair queue of capacity 1000 that runs 1 request at a time
    When workspace "large" sends 300 requests and "small" sends 30, with weights 1 and 2
    Then the first 45 answers hold 30 of "small"

  Scenario: The fair queue agrees with a naive one
    Then for random arrivals the order equals that of a naive fair scheduler

  Scenario: A full queue sheds from the workspace that waits with the most
    Given a fair queue of capacity 10 that runs 1 request at a time
    When workspace "large" sends 30 requests and "small" sends 2, with weights 1 and 1
    Then every request of "small" is admitted and 21 of "large" are refused as not run

  Scenario: Callers that hang up leave no slot behind
    Then after random cancellations the queue admits again as many as it should

  Scenario: A request that would miss its deadline is refused at once
    Given a fair queue of capacity 10 that runs 1 request at a time
    When a request with 0.05 seconds left comes and runs take 1 second
    Then it is refused as not run without waiting

  Scenario Outline: What follows a failed attempt
    When <request> fails with <verdict> for "<reason>"
    Then the next step is "<step>"

    Examples:
      | request                 | verdict      | reason          | step    |
      | an idempotent request   | not-run      | unreachable     | retry   |
      | an idempotent request   | may-have-run | connection-lost | retry   |
      | an idempotent request   | ran          | error           | give-up |
      | a non-idempotent request | not-run     | not-holder      | retry   |
      | a non-idempotent request | may-have-run | connection-lost | pause  |
      | a non-idempotent request | may-have-run | claimed        | give-up |

  Scenario: Retries stay within their budget
    Then 1000 first attempts that are all refused earn at most 110 retries

  Scenario: A verdict covers all attempts
    When an attempt may have run and the next one did not
    Then the final verdict is may-have-run

  Scenario: Two crashes make a poison, one and a good run do not
    Then a fingerprint is suspect after one crash and poison after two
    And a clearance frees a suspect but not a poison, whichever order the news take
