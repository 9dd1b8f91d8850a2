Feature: Membership

  Scenario: Records merge to the same directory in any order
    Then random records in random orders give equal directories and equal summaries

  Scenario: A reused address belongs to the newer VM
    When a new VM takes the address of an old one
    Then the old VM is gone and the new one gets work

  Scenario: A member that is silent becomes suspect, then gone, and refutes when it is back
    Given an entry process that hears one endpoint process
    When the endpoint process is silent for 5 seconds
    Then it is suspect and gets no work
    When it sends a heartbeat and hears what is thought of it
    Then its next heartbeat makes it alive again

  Scenario: Nothing is kept about replaced VMs
    Given an entry process that hears one endpoint process
    When 300 endpoint VMs come, go and are forgotten
    Then nothing is kept about any of them

  Scenario: A process that was paused itself accuses nobody
    Given an entry process that hears one endpoint process
    When the entry process is paused for 60 seconds
    Then the endpoint process is still alive

  Scenario: A clock that ran backwards does not hide a new process
    Given an entry process that hears one endpoint process
    When a process with a lower incarnation starts on the same VM
    Then it raises its incarnation and is known
