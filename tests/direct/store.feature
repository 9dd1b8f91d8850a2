Feature: How entry processes follow the store
  Background:
    Given the users' platform with two plain backends and two engines

  Scenario Outline: A process without a configuration is not ready while the store is <mode>
    Given the store is "<mode>"
    When an entry process starts
    Then it is not ready and refuses with 503

    Examples:
      | mode     |
      | down     |
      | limited  |
      | reset    |
      | nonsense |

  Scenario: A revoked key is refused everywhere, even by a process that cannot reach the store
    Given two entry processes that are ready
    When the second process cannot reach the store
    And the key is revoked
    Then both refuse the key within 2 seconds

  Scenario: A watch that delivers nothing is detected
    Given one entry process that is ready
    When watches deliver nothing while the key is revoked, and the history is compacted
    Then the process refuses the key within 2 seconds

  Scenario: A malformed configuration leaves the last one in force
    Given one entry process that is ready
    When the store holds a malformed configuration
    And a caller looks something up
    Then it gets the complete answer of a backend

  # Guards against one odd entry that ends a process, or its following of all others.
  Scenario: Malformed registrations of another writer add no backend
    Given one entry process that is ready
    When another writer registers malformed backends
    And a caller looks something up
    Then it gets the complete answer of a backend
    And a process that starts follows all others from the store and from a peer

  Scenario: Backends whose registration lapsed in an outage stay in use for a while
    Given one entry process that is ready
    When the store goes down, and all registrations have lapsed when it returns
    And a caller looks something up
    Then it gets the complete answer of a backend

  Scenario: A process that has stopped watching the store after a failed call does not keep backends that leave
    Given one entry process that is ready
    When a call to the store fails, peers watch it from then on, and a backend leaves 4 s later
    Then the process has removed the backend

  Scenario: A leaving process is not listed, and completes its requests
    Given two entry processes that are ready
    When the first process is told to stop while a slow stream runs
    Then the directory of the second lists only the second
    And the stream has all events in order, once each

  Scenario Outline: A target version that is learned late from <source> is required from its bound on
    Given two entry processes that are ready
    And target versions are required 3 s after they were set
    When a target version is set while the second process hears nothing, and <source> tells it 1.5 s later
    Then from 3 s after it was set the second process starts nothing on older weights

    Examples: late
      | source    |
      | the store |
      | its peer  |

  Scenario: The time for which a machine is suspended counts towards the bound of a target version
    Given one entry process that is ready
    When a target version is set and the machine is suspended for the whole bound
    Then the process starts nothing on older weights

  Scenario: A target version that a stalled watch withheld counts from its acknowledgement
    Given one entry process that is ready
    When watches deliver nothing while a target version is set, and the history is compacted
    Then the process assumes that the version was set no later than it was

  Scenario: A stream that waits at an engine does not begin there after a newer version is required
    Given one entry process that is ready
    And target versions are required 1 s after they were set
    When a target version is set while a stream waits for its first event
    Then the stream is cancelled at the engine within the bound

  Scenario: A stream that waits while the machine is suspended for the whole bound is cancelled at once
    Given one entry process that is ready
    When the machine is suspended while a stream waits for its first event on older weights
    Then the stream is cancelled at the engine within the bound

  Scenario: Processes on narrow links read a configuration that takes 2.5 s to arrive
    Given a configuration with 1500 more routes
    And the store sends 2.5 s worth of bytes to each reader
    When an entry process and an endpoint process start
    Then both know the configuration within 6 seconds

  Scenario: An answer of the store that arrives byte by byte for long is given up
    Given the store sends 30 s worth of bytes to each reader
    When the store is read
    Then the read fails within 10 seconds

  Scenario: Changes with a large configuration are sent to other processes in a tenth of its size
    Given a configuration with 1500 more routes
    And one entry process that is ready
    When another process fetches the changes of the entry process
    Then it has the configuration, and at most a tenth of its size was sent

  Scenario: A new process takes the content of the store from a seed process
    Guards against reads of the whole store by all processes at once, which fill narrow links.
    Given one entry process that is ready
    When another process begins, and a seed process is the entry process
    Then it knows the configuration within 2 seconds
    And it has not read the store

  Scenario: A new process reads the store itself if the seed processes are lost
    Given one entry process that is ready
    When another process begins, and a seed process is lost
    Then it knows the configuration within 5 seconds

  Scenario: A process fetches changes that take 2 s to arrive from another process
    Given an entry process whose answers take 2 s to arrive
    When another process fetches its changes
    Then it has all of them
