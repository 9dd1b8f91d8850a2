Feature: Decisions of entry processes
  Played without a network.

  Scenario: All entry processes together stay within the bound of repeats
    When any number of entry processes repeat as often as they may
    Then no window has more repeats than the bound allows

  Scenario: Requests go where the first event comes soonest
    When a burst of 300 requests is placed on engines of different speed
    Then no engine expects its next first event twice as late as another

  Scenario: What cannot be on time is refused, what can be is taken
    Given engines that are all full
    When a request is placed
    Then it is refused with a time to come back

  Scenario: Each named version binds from its own time on
    Given a version named 9 s ago and a newer one named 2 s ago
    When the version that a request needs is asked for
    Then it is the older of the two

  Scenario Outline: A version that a process finds at its start binds soon, however long the bound
    Given a process that finds a named version in the store at its start
    When requests come under a bound of <bound> s
    Then they need the version after 3 s

    Examples:
      | bound |
      | 8     |
      | 9.7   |
      | 60    |

  Scenario: A request that has no engine with the needed weights is refused
    Given a version named 9 s ago and a newer one named 2 s ago
    And engines that hold the version before both
    When a request is placed
    Then it is refused with a time to come back

  Scenario: The first entry process of each zone watches the store
    When 3 entry processes in 2 zones hear each other
    Then 2 of them watch the store
    And all watch once nobody has heard from the store

  Scenario: Callers get addresses of their zone, and others where those are few
    When callers of a zone with 2 entry processes and of one with none ask
    Then the first get the 2 and the second get all

  Scenario: Lines about decisions are bounded, and dropped ones are counted
    When 1000 lines are wanted within a second
    Then at most 70 are written
    And the next line says how many were dropped

  Scenario: An entry process that starts again with its clock put back is heard
    When an entry process is heard, falls silent and starts again with an older time
    Then its new pulses count once the old ones have stopped

  Scenario: A reader of the log that does not keep up costs lines, never time
    When 2000 lines are written to a pipe that nobody reads, and then it is read
    Then writing took less than a second
    And the next line says how many were lost

  Scenario: A request does not wait at an engine past the time at which its weights are too old
    Given a version named 7 s ago that no engine holds yet
    And one engine that is full and one that is idle
    When requests are placed until both would be taken
    Then the full engine is passed over while the idle one is taken

  Scenario Outline: A stream that would hold up an engine about to load goes elsewhere
    Given one engine that loads other weights in 1 s and one with more to do
    When a stream of <tokens> tokens is placed
    Then it goes to <engine>

    Examples:
      | tokens | engine                |
      | 10     | the engine that loads |
      | 260    | the other engine      |

  Scenario: Entry processes of a region hear of each other's sends at once
    Given three entry processes of one region and one of another that hear each other
    When one of the three sends a request to a backend
    Then the other two know of it, and the one of the other region does not yet
    When its request has ended
    Then none of them counts it any more

  Scenario: Pulses keep to their rate
    Given three entry processes of one region and one of another that hear each other
    When one of them sends pulses as often as it may for 10 s while its load changes
    Then they take no more than the allowed rate

  Scenario: An impatient caller is not taken for one that comes back
    Given callers that wait between 5.2 s and 6 s for an answer
    When each asks for the first time, and comes back 1.2 s later
    Then none counts as come back the first time, and all do the second time

  Scenario: What callers once waited at most is forgotten
    Given callers that wait between 5.2 s and 6 s for an answer
    When they wait between 2.6 s and 3 s from then on
    Then none counts as come back after 60 s

  Scenario: Entry processes of a large region are dealt into cells
    When any entry processes and engines of a region are dealt into cells
    Then members of a cell agree, and each engine is preferred by one cell

  Scenario: What one entry process finds gone, the others do not try
    Given three entry processes of one region and one of another that hear each other
    When one of the three finds that a backend is another one than it was
    Then the other two pass it over as well

  Scenario: A later incarnation at an address ends the earlier one, and no late word brings it back
    Given a backend whose successor registered at its address
    When its own registration is written once more, late
    Then only the successor is used

  Scenario: Watchers that the store does not answer are not relied on while their loads are heard
    Given three entry processes of one region and one of another that hear each other
    When the store answers none of them, though their loads go on being told
    Then the second watches the store itself within 2 s

  Scenario: An entry process that fell silent is not taken for alive again
    Given three entry processes of one region and one of another that hear each other
    When one of the three falls silent
    Then it is held to be gone after 1.2 s, once and for all

  Scenario Outline: A send is ended before the weights of its backend are too old to begin on
    Given a backend whose weights may not begin anything <seconds> s from now
    When a request that is expected to begin in time is sent there
    Then <what>

    Examples:
      | seconds | what                                                   |
      | 2       | the send is ended before, though it may not be repeated |

  Scenario: A backend whose first events stay away gets nothing more
    Given two idle backends, one of which owes a first event since 1 s
    When a request is placed
    Then it goes to the one that owes nothing
