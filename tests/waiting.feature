Feature: Waits with a time limit

  Scenario: A cancellation that arrives together with the result is not lost
    When a task in a loop of waits is cancelled while its event is set
    Then the task ends as cancelled

  Scenario: A wait ends after its time
    When an event that is never set is waited for
    Then the wait says that it was not set
