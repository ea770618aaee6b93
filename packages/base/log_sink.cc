#include "base/log_sink.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <memory>
#include <utility>

#include "base/json_text.h"

namespace pomelotray {
namespace {

log4cplus::LogLevel ToLogLevel(EventLevel level) {
  switch (level) {
    case EventLevel::kInfo:
    case EventLevel::kNotice:
      return log4cplus::INFO_LOG_LEVEL;
    case EventLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case EventLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::SharedAppenderPtr MakeAppender(const std::string& path) {
  if (path.empty()) {
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(/*logToStdErr=*/true, /*immediateFlush=*/true));
  }
  return log4cplus::SharedAppenderPtr(
      new log4cplus::FileAppender(path, std::ios_base::app, /*immediateFlush=*/true));
}

}  // namespace

EventLog::Sink MakeLogSink(const std::string& path) {
  static log4cplus::Initializer* const initializer = new log4cplus::Initializer();
  (void)initializer;
  log4cplus::SharedAppenderPtr appender = MakeAppender(path);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  log4cplus::Logger logger = log4cplus::Logger::getInstance("pomelotray.events");
  logger.setAdditivity(false);
  logger.removeAllAppenders();
  logger.addAppender(appender);
  return [logger](const Event& event) {
    nlohmann::json line = event;
    logger.log(ToLogLevel(DescribeEvent(event.code).level), DumpJson(line));
  };
}

}  // namespace pomelotray
