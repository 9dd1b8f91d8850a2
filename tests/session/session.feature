Feature: Sessions of an operator and callers

  Scenario: The output of apply, rollout, requests, rollback and drain is unchanged
    Given a running system of two entry, three engine and one service VMs
    When an operator and callers run the scripted session
    Then the transcript equals the golden file "session.txt" byte for byte
