Feature: A planned stop of an entry process

  Background:
    Given the users' platform with two plain backends and two engines

  # Guards against requests that are cut without an answer at the end of the grace period.
  Scenario: What backends still hold at the end of the grace period gets a whole answer
    Given all plain backends are "hang"
    And the route of bookings has a timeout of 30 s
    And an entry process of its own with a grace period of 5 s that is ready
    When bookings are sent before and after it is told to stop, with deadlines of 30 s
    Then each is answered completely, and that it may have run if it reached a backend
    And its log says of each sent before that the process had to end before the answer
    And the process has ended within its grace period

  Scenario: A stream that is under way at the end of the grace period does not look complete
    Given all engines are "slow"
    And streams have 100 events
    And the route of streams has a timeout of 30 s
    And an entry process of its own with a grace period of 5 s that is ready
    When a caller reads a long stream, and the process is told to stop meanwhile
    Then it got events in order, once each, nothing else, and no complete end
    And its log says of each sent before that the process had to end before the answer
    And the process has ended within its grace period

  # Guards against a stop that lasts as long as the store's answer, with the listener open all the while.
  Scenario: A store that is slow to end the lease does not keep a stopping process open
    Given all plain backends are "slow"
    And an entry process of its own with a grace period of 8 s that is ready
    And the store is "trickling"
    When bookings are sent on kept connections from before it is told to stop until it has ended
    Then each that reached a backend is answered completely
    And none that was sent later than 3.2 s after the signal reached a backend
    And the process has ended within its grace period

  # Guards against answers that were handed to the connection and lost with the process.
  Scenario: A long answer that its caller reads late is whole when the process stops
    Given look-ups have answers of 12 MB
    And an entry process of its own with a grace period of 5 s that is ready
    When a caller reads the beginning of an answer, and the rest 3.6 s after the signal to stop
    Then the answer is whole
    And the process has ended within its grace period

  Scenario: Every request of a stop is refused at arrival or ends within the grace period
    Then the decisions of any stop keep to its times

  Scenario: A stream that usually outlasts the grace period is refused at arrival
    Given one entry process that is ready
    And the route of streams has a timeout of 30 s
    When the process begins to stop, and two streams of 60 and of 2000 tokens are asked for
    Then the short one is answered, and the long one is refused with a retry delay and has not run

  # Guards against a second signal to stop that ends the process at once, with all that it answers.
  Scenario Outline: A stream is whole though its process gets <second> after <first>
    Given all engines are "slow"
    And an entry process of its own with a grace period of 8 s that is ready
    When a caller reads a stream, and the process gets <first> and then <second>, three times, <when>
    Then the stream is whole
    And its log names each signal that it got
    And the process has ended within its grace period

    Examples: series
      | first   | second  | when                  |
      | SIGTERM | SIGTERM | 0.1 s apart           |
      | SIGTERM | SIGINT  | 0.1 s apart           |
      | SIGINT  | SIGINT  | 0.1 s apart           |
      | SIGTERM | SIGHUP  | 0.1 s apart           |
      | SIGTERM | SIGINT  | at once               |
      | SIGINT  | SIGTERM | while it is suspended |

  # Guards against closing what was sent to a process while it was suspended, before it is read.
  Scenario: Requests that come while a stopping process is suspended get answers
    Given an entry process of its own with a grace period of 8 s that is ready
    When it stops, and is suspended until after it refuses requests, with calls on a kept and a new connection meanwhile
    Then both calls are answered
    And the process has ended within its grace period

  # Guards against a signal to stop that ends a process before it can say so, or is lost in its start.
  Scenario Outline: A process that gets <signal> while it reads its settings ends by itself
    When an entry process of its own gets <signal> while it reads its settings, and is let go on
    Then it ends with the exit status 0 without becoming ready, and its log names <signal>

    Examples: early
      | signal  |
      | SIGTERM |
      | SIGINT  |

  # Guards against streams in a stop whose callers may use their connections again, which are then closed unanswered.
  Scenario Outline: The connection of a stream that <begins> the order to stop ends with the stream
    Given all engines are "slow"
    And one entry process that is ready
    When a caller reads a stream that <begins> the order to stop, on a kept connection
    Then the stream is whole, and its connection is closed with it
    And the head of the answer says that the connection is <named>

    Examples: begin
      | begins        | named  |
      | begins before | kept   |
      | begins after  | closed |
