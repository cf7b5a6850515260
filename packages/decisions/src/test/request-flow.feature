Feature: what a caller is answered about a request is true
  A booking runs twice, or a caller whose request was answered as "not run" finds it booked. This happens when a retry or an
  answer is decided without regard to the verdicts: attempts fail with different verdicts, deadlines pass and callers leave,
  in any order.

  Scenario: any sequence of attempts and interruptions
    Given any request and any way its attempts end
    Then there is one attempt at a time, one final answer, and no retry that the verdict forbids
    And "not run" is answered only when no attempt may have run

  Scenario: an answer that broke after its first byte
    Given a streamed answer that has begun
    When the attempt ends with a failure
    Then the answer is broken visibly and nothing is sent again

  Scenario: a deadline that passes while the sidecar has the request
    Given a booking at a sidecar
    When the deadline passes and the sidecar reports that it had started
    Then the caller is answered that it may have run
    When the deadline passes and the sidecar reports that it had not started
    Then the caller is answered that it did not run

  Scenario: a deadline after an attempt that may have run
    A caller is answered "not run" although the first attempt may have run. This happens when the first attempt's channel
    breaks, the second attempt is withdrawn at the deadline before it has started, and the sidecar's verdict on the second
    is taken for the whole request.
    Given an idempotent request whose first attempt may have run and whose second waits
    When the deadline passes and the sidecar reports that the second had not started
    Then the caller is answered that it may have run
