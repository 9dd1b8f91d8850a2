Feature: What entry processes know of the store
  Background:
    Given the users' platform with two plain backends and two engines

  Scenario Outline: Before it knows a configuration, a process is not ready while the store is <mode>
    Given the store is "<mode>"
    When an entry process starts
    Then it is not ready and refuses with 503

    Examples:
      | mode     |
      | down     |
      | limited  |
      | reset    |
      | nonsense |

  Scenario: A revoked key is refused everywhere, also where the store turns a process away
    Given two entry processes that are ready
    When the second process is turned away by the store
    And the key is taken away
    Then both refuse the key within 2 seconds

  Scenario: A watch that hears nothing is found silent
    Given one entry process that is ready
    When watches hear nothing while the key is taken away, and the history is forgotten
    Then the process refuses the key within 2 seconds

  Scenario: A configuration that cannot be read leaves the last one in force
    Given one entry process that is ready
    When the store holds a configuration that cannot be read
    And a caller looks something up
    Then it gets the whole answer of a backend

  Scenario: Entries of other writers name no backend
    Given one entry process that is ready
    When another writer registers backends that cannot be read
    And a caller looks something up
    Then it gets the whole answer of a backend

  Scenario: Backends whose registration lapsed in an outage stay in use for a while
    Given one entry process that is ready
    When the store goes down, and all registrations have lapsed when it returns
    And a caller looks something up
    Then it gets the whole answer of a backend

  Scenario: A process that leaves is not named, and ends what it runs
    Given two entry processes that are ready
    When the first process is told to end while a slow stream runs
    Then the directory of the second names only the second
    And the stream has all events in order, once each
