Feature: Membership

  Scenario: Merging the same records in any order gives the same directory
    Then random records in random orders give equal directories and equal summaries

  Scenario: A reused address belongs to the newer VM
    When a new VM takes the address of an old one
    Then the old VM is gone and the new one gets requests

  Scenario: A member without heartbeats becomes suspect and refutes that by its next ones
    Given an entry process that receives heartbeats of one endpoint process
    When the endpoint process sends no heartbeat for 5 seconds
    Then it is suspect and gets no requests
    When it sends a heartbeat and gets its suspect status in the reply
    Then its next heartbeat makes it alive again

  Scenario: Nothing is kept about replaced VMs
    Given an entry process that receives heartbeats of one endpoint process
    When 300 endpoint VMs join, are marked as gone and their tombstones expire
    Then nothing is kept about any of them

  Scenario: A registrar that was paused itself marks no member as suspect
    Given an entry process that receives heartbeats of one endpoint process
    When the entry process is paused for 60 seconds
    Then the endpoint process is still alive

  Scenario: A process that starts after the clock was set back supersedes the record of the former
    Given an entry process that receives heartbeats of one endpoint process
    When a process with a lower incarnation starts on the same VM
    Then it raises its incarnation and its record is taken over
