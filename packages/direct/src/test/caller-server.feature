Feature: answers at the end of the process

  Scenario: a caller that has not read its whole answer
    Guards against an answer that is cut without a trace: it was written completely, and its process ends before its slow caller has read it.
    Given a caller that reads nothing of an answer of 20000000 bytes
    When the server of callers is closed
    Then the request is reported as dropped, since its connection closes
