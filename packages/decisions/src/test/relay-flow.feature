Feature: what an entry that sends directly tells a caller is true
  Symptom: a booking runs twice, or a caller who was told "not run" finds it booked.
  Events: upstreams refuse, fail, fall silent or can't be reached; time runs out and callers leave, in any order.
  Cause: a repeat or an answer was decided on something other than what may have happened.

  Scenario: any sequence of outcomes and interruptions of a direct request
    Then for any direct request at most one upstream has it at any time and nothing follows its final answer
    And for any direct request that may run once, nothing is sent after it may have run
    And for any direct request "not run" is told only when it surely did not run
    And for any direct request no more upstreams are tried than its route allows
    And for any direct request nothing is sent once it is held back

  Scenario: no upstream takes a connection
    Symptom: a caller is refused although another upstream was free.
    Events: the first upstream is gone and refuses the connection.
    Cause: a connection that never opened was counted as an attempt.
    Given a direct booking that may be sent to 1 upstream
    When its upstream takes no connection
    Then it is placed again and the budget is untouched

  Scenario: the adapter comes a moment later than expected
    Symptom: a request is moved to an engine that must load its adapter first.
    Events: the engine refuses, since the load ends some ms late.
    Cause: the refusal was taken for that of a full engine.
    Given a direct booking that may be sent to 1 upstream
    When its upstream refuses for lack of the adapter
    Then it waits a moment and is placed at the same upstream

  Scenario: an answer that is an error of the upstream's own
    Symptom: a stock check fails although a second upstream could have answered.
    Events: the first upstream answers 500, the second can't be had.
    Cause: the error was passed on at once, or lost when nothing better came.
    Given a direct stock check that may be sent to 2 upstreams
    When its upstream answers with an error and no other can be had
    Then the error is delivered

  Scenario: part of a plain answer has gone out when the rest is lost
    Symptom: a caller gets the beginning of one answer and the end of another.
    Events: a large answer is passed on as it comes, and its connection breaks.
    Cause: the request was sent again, as it may run twice.
    Given a direct stock check that may be sent to 2 upstreams
    When its answer has begun and the rest is lost
    Then the direct answer is broken

  Scenario: a full engine lets a stream stand still
    Symptom: a caller's draft ends in the middle, beside a change of the configuration that has nothing to do with it.
    Events: an engine puts a stream back for a second; no other engine has a place; the first one goes on.
    Cause: the stream was cut off at its engine before another one was found.
    Given a resumable stream that may be sent to 2 upstreams
    When its upstream stalls and no other can be had
    Then it stays where it is, and ends whole when the upstream goes on

  Scenario: a stream moves from a silent engine
    Given a resumable stream that may be sent to 2 upstreams
    When its upstream stalls and another can take it
    Then it is taken from the first and goes on at the other

  Scenario: a silent engine breaks off
    Given a resumable stream that may be sent to 2 upstreams
    When its upstream stalls and breaks off while another is looked for
    Then nothing else is looked for, and it goes on where it is placed

  Scenario: a request that is held back comes in
    Given a direct stock check that is held back
    Then it is refused at once as not run

  Scenario: a request is held back while an upstream has it
    Symptom: one more upstream ends after it was known which request ends them.
    Events: the request waits in an upstream's queue when the third upstream ends under another attempt at it.
    Cause: only new attempts were held back.
    Given a direct stock check that may be sent to 2 upstreams
    When it is held back while its upstream has it
    Then it is taken from its upstream and its caller is told that it may have run

  Scenario: a booking is held back while its server has it
    Given a direct booking that may be sent to 2 upstreams
    When it is held back while its upstream has it
    Then it stays there, and is not sent on when its upstream refuses it

  Scenario: a key is withdrawn while its request waits
    Symptom: a key that was withdrawn seconds ago still gets answers.
    Events: a request waits for an adapter; its key is withdrawn; the adapter comes.
    Cause: whose request it is was looked at once only, when it came in.
    Given a direct stock check whose key is withdrawn before it is placed
    Then it is refused as not run, since its key was withdrawn
