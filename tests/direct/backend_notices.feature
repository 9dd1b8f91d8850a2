Feature: What backends say of themselves in their answers
  A backend can say in any answer that it leaves, and in a refusal for how long it wants no requests.

  Background:
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready

  Scenario Outline: A backend that says in <answer> that it leaves gets no further requests
    Given one <kind> of backend is "<mode>" and says that it leaves
    When callers send requests until it has answered
    And all others of its kind are full from then on
    And callers send <count> more requests
    Then it has got no request after that answer

    Examples:
      | answer               | kind   | mode    | count |
      | a whole answer       | plain  | ok      | 20    |
      | a server error       | plain  | failing | 20    |
      | a refusal            | plain  | full    | 20    |
      | the head of a stream | engine | ok      | 10    |

  Scenario: A backend that said that it leaves is not used again after a late registration
    Given one plain of backend is "ok" and says that it leaves
    When callers send requests until it has answered
    And its registration ends and is written again
    And callers send 20 more requests
    Then it has got no request after that answer

  Scenario: A new incarnation of a backend that said that it leaves is used
    Given one plain of backend is "ok" and says that it leaves
    When callers send requests until it has answered
    And a new incarnation registers under its id
    And callers send 20 more requests
    Then it has got requests after that answer

  Scenario: A backend that asks for a pause gets no requests until its end, and then gets some
    Given one plain of backend is "pausing" and asks for 1 s
    When callers send requests until it has answered
    And all others of its kind are full from then on
    And callers send 10 more requests
    Then it has got no request after that answer
    And it gets requests again after the pause

  Scenario: The pause outlives the registration of a backend
    Given one plain of backend is "pausing" and asks for 10 s
    When callers send requests until it has answered
    And its registration ends and is written again
    And callers send 20 more requests
    Then it has got no request after that answer

  Scenario: A request is refused at once if all backends of its service have asked for a pause
    Given all plain backends ask for a pause of 3 s and have been asked
    When a caller looks something up
    Then it is refused at once with a retry delay of at least 2.5 s

  Scenario Outline: A pause that is asked for as the process gives the <kind> request up is kept
    Given one <kind> of backend is "pausing-late" and asks for 10 s
    When callers with a deadline of 0.2 s send 16 requests one after the other
    Then it has got at most 2 requests

    Examples:
      | kind   |
      | plain  |
      | engine |

  Scenario: A pause that is asked for as the caller leaves is kept
    Given one plain of backend is "pausing-late" and asks for 10 s
    When 16 callers with a deadline of 0.3 s leave 0.01 s before, one after the other
    Then it has got at most 2 requests

  Scenario: The pause outlives a registration without a start time
    Given one plain of backend is "pausing" and asks for 10 s
    When callers send requests until it has answered
    And its registration is rewritten without a start time
    And callers send 20 more requests
    Then it has got no request after that answer
