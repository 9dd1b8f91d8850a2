Feature: Accepted configuration

  Scenario: Concurrent operators and lost answers neither lose nor fork an accepted change
    Then in random races the chain holds every accepted change and none that got a conflict

  Scenario: Applying the same manifest twice changes nothing
    Given an empty key-value service
    When the same manifest is applied twice
    Then the second apply is unchanged and one revision exists

  Scenario: A change whose pipeline died half-way is listed and can be discarded
    Given an empty key-value service
    When a pipeline dies after it has recorded its change
    Then the change is listed as unfinished
    And it is no longer listed after it was discarded

  Scenario: The revision in force never decreases
    Given an empty key-value service
    When three revisions are accepted and offered in any order, with gaps and older heads
    Then the revision in force of a process never decreases

  Scenario: A different document with the revision in force is refused
    When a process is offered another document with the revision in force
    Then it keeps its own and counts the refusal

  Scenario: A change is in force in time though the processes that watch the service are turned away
    Given 6 entry processes, of which the 3 that watch the service are turned away by it
    When a change is accepted
    Then every process has it in force within 12 s
