Feature: Waits with a time limit

  Scenario: A cancellation that arrives together with the result is not lost
    When a task that waits in a loop is cancelled just as its event is set
    Then the task is cancelled

  Scenario: A wait ends at its time limit
    When a task waits for an event that is never set
    Then the wait returns False
