Feature: answers that break off at an entry with sidecars

  Scenario Outline: a <kind> answer to a caller of HTTP/<version>
    Guards against a caller that takes a part of an answer for all of it: a caller of HTTP/1.0 gets no chunks, so that an orderly end of its
    connection is the end of its answer.
    When a <kind> answer to a caller of HTTP/<version> breaks off
    Then the caller has its part, and the answer ended as "<end>"

    Examples:
      | kind   | version | end   |
      | stream | 1.0     | reset |
      | plain  | 1.0     | reset |
      | stream | 1.1     | cut   |
      | plain  | 1.1     | cut   |
