Feature: Requests that crash the backends that run them

  Scenario Outline: A <method> booking whose backend crashes runs once, and is not called "not run"
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And all plain backends are "crashing"
    When a caller books something by <method>
    Then the status is 502
    And the booking ran 1 times

    Examples: methods
      | method  |
      | POST    |
      | PUT     |
      | DELETE  |
      | GET     |
      | OPTIONS |

  Scenario: A look-up that crashes its backends is sent twice in all, though they are back at once
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And all plain backends are "crashing"
    When the same look-up is sent again and again, each time to running backends
    Then 2 backends crashed

  Scenario Outline: A process that starts <seconds> s after the crashes refuses a poison request in time
    Given 9 entry processes in 3 zones that broadcast to samples of their peers
    When two of them see a backend crash with the same request
    And one of the others starts anew <seconds> s later
    Then all of them refuse it 3 s later

    Examples: starts
      | seconds |
      | 2       |
      | 15      |
      | 60      |

  Scenario: Crashes with many other requests do not keep a poison request from the other processes
    Given 41 entry processes in 4 zones that broadcast to samples of their peers
    When two of them see a backend crash with the same request
    And these two lose a backend with 40 other requests in the same moment
    Then all of them refuse it 4 s later

  Scenario: A request that was in flight several times at one lost backend is not refused
    Given 9 entry processes in 3 zones that broadcast to samples of their peers
    When two of them lose the same backend, each with two runs of the same request
    Then none of them refuses it 4 s later

  Scenario: What two backends that were lost at once had in flight is tried by one process alone
    Given 9 entry processes in 3 zones that broadcast to samples of their peers
    When two of them lose different backends in the same moment, each with that request
    Then 1 s later one of them sends it, one at a time, and the others refuse it
    And all send it 1 s after it was answered there

  Scenario: What two backends had in flight is sent by all again if no caller has had it tried
    Given 9 entry processes in 3 zones that broadcast to samples of their peers
    When two of them lose different backends in the same moment, each with that request
    Then 1 s later one of them sends it, one at a time, and the others refuse it
    And none of them refuses it 30 s later

  Scenario: What crashes a backend again when it is tried is poison
    Given 9 entry processes in 3 zones that broadcast to samples of their peers
    When two of them lose different backends in the same moment, each with that request
    Then 1 s later one of them sends it, one at a time, and the others refuse it
    And all refuse it 1 s after it crashed a backend there

  Scenario: Requests whose prompts share a part that crashes engines are found, and their neighbours are not
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And engines that crash as they begin to answer on the part "bad"
    When callers open 12 streams on the parts "first" and "bad", each to running engines
    Then at most 5 engines crashed
    And callers that open 6 streams on the parts "first" and "sound" get all events
    And callers that open 6 streams on the parts "sound" and "first" get all events

  Scenario Outline: A bad part of a prompt reaches three engines at most once all can know it
    Given 8 entry processes and 7 engines with sound streams on <parts> parts
    When streams with a bad part come from 5 to 20 s, <kills>
    Then at most 3 of them are sent later than 3 s after the fifth crash
    And from 6 s after it, sound streams are sent at least half as often as they come

    Examples: herds
      | parts      | kills                          |
      | shared     | and nothing else happens       |
      | shared     | and engines are killed as well |
      | all first  | and engines are killed as well |
      | shared     | and before that with it while sound |

  Scenario: Engines that are killed do not make the parts of prompts poison
    Given 8 entry processes and 7 engines with sound streams on shared parts
    When engines are killed one by one, in a herd, and all at once
    Then all sound streams are sent from 3 s after a kill on

  Scenario Outline: A part <history> before <crashes> crashes in <rounds> rounds is <soon>, then <later>
    Given a part of prompts that was <history>
    When <crashes> engines crash with it in <rounds> rounds
    Then it is "<soon>" 1 s later, "<later>" 31 s later and "<late>" 130 s later

    Examples: evidence
      | history        | crashes | rounds | soon        | later  | late        |
      | never answered | 2       | 2      | none        | none   | none        |
      | never answered | 3       | 1      | none        | none   | none        |
      | never answered | 3       | 2      | poison      | poison | quarantined |
      | never answered | 5       | 1      | quarantined | none   | none        |
      | answered       | 5       | 1      | none        | none   | none        |
      | answered       | 3       | 2      | quarantined | none   | none        |
      | answered       | 4       | 4      | poison      | poison | poison      |

  Scenario Outline: A request that crashes backends stays refused though all <count> entry processes end at once again and again, and <store>
    Given <count> entry processes that get a request again and again that crashes each backend
    When all of them end at once four times, and <store>
    Then they send it 3 times at most later than 3 s after the third crash

    Examples: ends
      | count | store                            |
      | 3     | the store answers                |
      | 9     | the store answers                |
      | 17    | the store answers                |
      | 9     | the store is away as they start  |
      | 9     | the store comes back from a copy |
      | 9     | halves are cut from each other   |

  Scenario Outline: A look-up whose backends reset it and live on is answered <seconds> s later, <others>
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And all plain backends are "reset"
    And it has run for 4 s
    When the same look-up is sent 4 times, and then the backends answer again
    And <others> for <seconds> s
    Then the same look-up is answered

    Examples: proofs of life
      | seconds | others                          |
      | 4       | other look-ups are answered     |
      | 10      | nothing else is sent            |

  Scenario Outline: A backend that crashed is not taken for one that lives on <case>
    Given an entry process that saw a backend crash 10 s after its start
    When <case>
    Then the crash still counts 9 s after it

    Examples: cases
      | case                                                                       |
      | its registration ends 4 s later                                            |
      | it answers under the same id, and its next start is registered 1.5 s later |
      | the store is away from the crash on for 8 s                                |
      | the store is away as the next incarnation answers under the same id        |

  Scenario Outline: Evidence in the store <form> is replaced by the next crash
    Given a process whose store holds evidence <form>
    When it sees a backend crash with that request
    Then it writes both the known crashes and this one over the revision that the store holds

    Examples: forms
      | form                       |
      | of another process         |
      | that nobody can read       |

  Scenario: An answer deletes the evidence in the store, and one that comes late does not bring it back
    Given a process whose store holds evidence of another process
    When it sees the request answered
    Then it deletes the key at the revision that the store holds
    And the same evidence once more from the store changes nothing
