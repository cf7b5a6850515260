Feature: what an entry that sends directly answers to a caller is true
  A booking runs twice, or a caller whose request was answered as "not run" finds it booked. This happens when a retry or an
  answer is decided without regard to what may have run: upstreams refuse, fail, become silent or can't be reached, time
  runs out and callers leave, in any order.

  Scenario: any sequence of outcomes and interruptions of a direct request
    Then for any direct request at most one upstream has it at any time, two have an idempotent one that is late, and nothing follows its final answer
    And any direct request ends with one answer or one refusal, and is not given up or withdrawn while an upstream that has it may go on
    And for any direct request that may run once, nothing is sent after it may have run
    And for any direct request "not run" is answered only when it certainly did not run
    And for any direct request no more upstreams are tried than its route allows
    And for any direct request nothing is sent once it is quarantined
    And no direct request is placed that has not run once its entry stops, and each ends with the process

  Scenario: no upstream accepts a connection
    A caller is refused although another upstream was free. This happens when a connection that was never made counts as
    an attempt.
    Given a direct booking that may be sent to 1 upstream
    When its upstream accepts no connection
    Then it is placed again and the budget is untouched

  Scenario: the adapter is loaded a moment later than expected
    A request is moved to an engine that must load its adapter first. This happens when an engine whose load ends some ms
    late refuses the request, and the refusal is taken for that of a full engine.
    Given a direct booking that may be sent to 1 upstream
    When its upstream refuses it for lack of the adapter
    Then it waits a moment and is placed at the same upstream

  Scenario: an upstream that lacks the adapter terminates
    Guards against a request that is sent to more upstreams than its route allows: the first one refuses it, and accepts no connection a moment later.
    Given a direct booking that may be sent to 1 upstream
    When its upstream refuses it for lack of the adapter
    And it accepts no connection when the request is sent there again
    Then it is sent to no other upstream, and refused as not run

  Scenario: an answer that is an error of the upstream's own
    A stock check fails although a second upstream could have answered, or gets no answer at all. This happens when the
    first upstream's error 500 is passed on at once, or is lost when no second upstream is available.
    Given a direct stock check that may be sent to 2 upstreams
    When its upstream answers with an error and no other is available
    Then the error is delivered

  Scenario: part of a plain answer was sent when the rest is lost
    A caller gets the beginning of one answer and the end of another. This happens when the connection of a large answer
    breaks while it is passed on, and the request is sent again because it may run twice.
    Given a direct stock check that may be sent to 2 upstreams
    When its answer has begun and the rest is lost
    Then the direct answer is broken

  Scenario: a full engine pauses a stream
    A caller's stream ends in the middle. This happens when an engine pauses the stream for a second, no other engine has a
    free batch slot, and the stream is cut off at its engine before another one is found.
    Given a resumable stream that may be sent to 2 upstreams
    When its upstream stalls and no other is available
    Then it stays where it is, and ends complete when the upstream continues

  Scenario: a stream at a silent engine and at a second one
    Guards against a stream that is cut off although the silent engine goes on with it, and against events of two engines at once.
    Given a resumable stream that may be sent to 2 upstreams
    When its upstream stalls and another can take it
    Then both have it until the first data of either, and it is withdrawn from the other
    And a refusal, a failed connection, an error or a lost answer of the second leaves it at the first
    And the end of the first leaves it to the second

  Scenario: a stream stalls while the retry budget is spent
    Guards against engines that are asked for slots and adapters which no request will use.
    Given a resumable stream that may be sent to 2 upstreams
    When its upstream stalls while the retry budget is spent
    Then no second upstream is looked for until the budget leaves a retry

  Scenario: a stream stalls while no other engine can be reached
    Guards against a retry budget that is spent on sends which reach no upstream, so that streams of engines that ended are cut off.
    Given a resumable stream that may be sent to 2 upstreams
    When its upstream stalls and 5 others in turn accept no connection
    Then no retry is used up

  Scenario: a silent engine breaks the connection
    Given a resumable stream that may be sent to 2 upstreams
    When its upstream stalls and breaks the connection while another is looked for
    Then no second search starts, and it continues where it is placed

  Scenario: a silent engine goes on and breaks the connection during the search
    Guards against a stream that is cut off because the search which was not needed any more has found nothing.
    Given a resumable stream that may be sent to 2 upstreams
    When its upstream stalls, goes on and breaks the connection while another is looked for in vain
    Then another is looked for once more, and without one the stream is cut off

  Scenario: an upstream refuses a request while the entry stops
    Guards against a caller that waits at an entry whose process ends, although another entry could send its request at once.
    Given a direct stock check that may be sent to 2 upstreams
    When the entry stops while its upstream has it, which then refuses it
    Then it is refused as not run, since the entry stops

  Scenario: an answer is lost while the entry stops
    Guards against "not run" for a request that may have run.
    Given a direct stock check that may be sent to 2 upstreams
    When the entry stops while a second upstream is looked for after a lost answer
    Then it is answered that it may have run

  Scenario: a request arrives that is quarantined
    Given a direct stock check that is quarantined
    Then it is refused at once as not run

  Scenario: a request is quarantined while an upstream has it
    One more upstream terminates after it was known which request causes the terminations. This happens when the request
    waits in an upstream's queue while a third upstream terminates under another attempt, and only new attempts are refused.
    Given a direct stock check that may be sent to 2 upstreams
    When it is quarantined while its upstream has it
    Then it is withdrawn from its upstream and its caller is answered that it may have run

  Scenario: a booking is quarantined while its server has it
    Given a direct booking that may be sent to 2 upstreams
    When it is quarantined while its upstream has it
    Then it stays there, and is not sent again when its upstream refuses it

  Scenario: a key is withdrawn while its request waits
    A key that was withdrawn seconds ago still gets answers. This happens when a request waits for an adapter while its key
    is withdrawn, and the key is checked only when the request arrives.
    Given a direct stock check whose key is withdrawn before it is placed
    Then it is refused as not run, since its key was withdrawn

  Scenario: a read is overdue at a slow server
    Guards against a caller that waits for a slow server while another one is idle, and against answers of two servers to one read.
    Given a direct stock check that may be sent to 2 upstreams
    When it is overdue and another upstream can take it
    Then the second upstream has it as well, for one retry of the budget
    And the first answer is delivered and the other upstream is withdrawn, whichever answers first

  Scenario: one of two servers fails an overdue read
    Guards against an error that a caller gets while another server still works on the answer.
    Given a direct stock check that may be sent to 2 upstreams
    When it is overdue and another upstream can take it
    Then an error, a lost answer, a refusal or a failed connection of one leaves it to the other

  Scenario: a booking is never at two servers
    Guards against a booking that runs twice.
    Given a direct booking that may be sent to 2 upstreams
    When it is overdue
    Then it stays where it is
