Feature: Whole sessions

  Scenario: Apply, spread, requests, rollback and drain read as they always did
    Given a running system of two entry, three engine and one service VMs
    When an operator and some callers work with it
    Then the transcript equals the golden file "session.txt" byte for byte
